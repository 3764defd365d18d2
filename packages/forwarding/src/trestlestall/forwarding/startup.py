"""How long requests wait at a process that has just started; pure.

After a restart of all processes, callers arrive before the configuration and the first
upstreams are known: these follow 0.3 s to 0.7 s after the process listens. A caller
that waits for them still meets its target; one that is refused would retry too late.
Where they don't follow soon, there is another fault, and another process serves the
caller better.
"""

#: Seconds since the start of the process in which requests wait: twice the measured
#: time, as directories may start later than this process.
STARTUP_SECONDS = 1.5
#: The longest wait of one request, in seconds and as a share of the time that its
#: caller allows: enough for the measured time, while most of the caller's time is left
#: for a retry.
MAX_WAIT_SECONDS = 0.8
DEADLINE_SHARE = 0.25
#: Seconds between two checks of whether enough is known.
POLL_SECONDS = 0.01


def find_wait(age: float, deadline: float | None) -> float:
    """Return for how many seconds a request may wait for the process to know enough.

    ``age`` is the age of the process in seconds, ``deadline`` the seconds that the
    caller allows for the request.

    >>> find_wait(0.25, 6.0), find_wait(1.2, 6.0) < 0.5, find_wait(100.0, 6.0)
    (0.8, True, 0.0)
    """
    longest = MAX_WAIT_SECONDS
    if deadline is not None:
        longest = min(longest, DEADLINE_SHARE * deadline)
    return min(longest, max(0.0, STARTUP_SECONDS - age))
