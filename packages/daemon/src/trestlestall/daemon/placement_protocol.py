"""Constants of the messages between gateways and the directory that places requests."""

#: Why a gateway asks for an upstream: for a new request; for a request that could not
#: be sent to the upstream chosen before; for a retry of one that reached an upstream.
FIRST_SEND = "first"
REROUTED = "moved"
RETRY = "repeat"

# What a gateway reports of a placed request: its first event, or how it ended.

FIRST_EVENT = "first"
SUCCEEDED = "succeeded"
FAILED = "failed"
INCONCLUSIVE = "neither"

#: How a request ended, by whether the upstream is held to have failed; ``None`` means
#: that the end is no evidence either way.
OUTCOMES = {True: FAILED, False: SUCCEEDED, None: INCONCLUSIVE}
#: The reverse: whether an end counts as a failure.
FAILURES = {kind: failed for failed, kind in OUTCOMES.items()}
