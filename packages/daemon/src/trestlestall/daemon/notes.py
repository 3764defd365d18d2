"""Words between gateways and the directory that places their requests."""

#: Why a place is asked for: a caller's request; one that could not be sent to its
#: upstream; one that has reached an upstream and is sent once more.
FIRST_SEND = "first"
MOVED = "moved"
REPEAT = "repeat"

# What became of a placed request.

FIRST = "first"
SUCCEEDED = "succeeded"
FAILED = "failed"
NEITHER = "neither"

#: The kind by whether the end speaks against the upstream; None: neither way.
ENDS = {True: FAILED, False: SUCCEEDED, None: NEITHER}
