"""How long requests wait at a process that has just started; pure.

After a restart of all processes the callers come before the configuration and the
first upstreams are known: these follow 0.3 s to 0.7 s after the process listens. A
caller that waits for them still meets its target; one that is refused comes back after
it. Where they don't follow soon, something else is wrong, and a caller does better
elsewhere.
"""

#: Seconds since the start of the process in which requests wait: twice the time that
#: was measured, as directories may start later than this process.
STARTUP_SECONDS = 1.5
#: The longest that one request waits, in seconds and in parts of the time that its
#: caller gives it: enough for what was measured, and most of that time is left to come
#: back.
LONGEST_SECONDS = 0.8
DEADLINE_SHARE = 0.25
#: Seconds between two looks at what is known.
LOOK_SECONDS = 0.01


def find_wait(age: float, deadline: float | None) -> float:
    """Return for how many seconds a request may wait for the process to know enough.

    ``age`` are the seconds since the process started, ``deadline`` those that the
    caller gives the request.

    >>> find_wait(0.25, 6.0), find_wait(1.2, 6.0) < 0.5, find_wait(100.0, 6.0)
    (0.8, True, 0.0)
    """
    longest = LONGEST_SECONDS
    if deadline is not None:
        longest = min(longest, DEADLINE_SHARE * deadline)
    return min(longest, max(0.0, STARTUP_SECONDS - age))
