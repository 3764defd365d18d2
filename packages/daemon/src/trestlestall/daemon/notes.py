"""The kinds of a gateway's notes on what became of a placed request."""

FIRST = "first"
SUCCEEDED = "succeeded"
FAILED = "failed"
NEITHER = "neither"

#: The kind by whether the end speaks against the upstream; None: neither way.
ENDS = {True: FAILED, False: SUCCEEDED, None: NEITHER}
