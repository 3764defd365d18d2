"""TS2xxx: requests at a router, from arrival to answer."""

from trestlestall.daemon.events import catalogue

ARRIVED = catalogue.declare(
    "TS2001",
    "request_arrived",
    catalogue.Level.INFO,
    "request workspace target request_class tier prompt_tokens max_tokens stream key",
    "A caller's request was valid and was assigned a class.",
)
ADMITTED = catalogue.declare(
    "TS2002",
    "request_admitted",
    catalogue.Level.INFO,
    "request workspace request_class tier queued predicted reason",
    "The request is expected to meet its target; it was queued or sent to an upstream.",
)
REFUSED = catalogue.declare(
    "TS2003",
    "request_refused",
    catalogue.Level.INFO,
    "request workspace request_class tier code retry_after reason",
    "The request was refused before it was sent to any upstream: this sending did not"
    " run.",
    "When many of one class are refused, compare its demand and target with the"
    " capacity.",
)
SENT = catalogue.declare(
    "TS2004",
    "request_sent",
    catalogue.Level.INFO,
    "request workspace request_class attempt upstream priority candidates reason",
    "An attempt was sent to an upstream; candidates and reason say why it was chosen.",
)
FINISHED = catalogue.declare(
    "TS2005",
    "request_finished",
    catalogue.Level.INFO,
    "request workspace request_class attempt upstream status tokens seconds"
    " first_token_seconds on_time",
    "The caller has received the complete answer.",
)
BROKEN = catalogue.declare(
    "TS2006",
    "attempt_broken",
    catalogue.Level.WARNING,
    "request attempt upstream tokens reason",
    "An attempt ended before its answer was complete; it may have run.",
    "When one upstream appears in many of these lines, drain it.",
)
RESUMED = catalogue.declare(
    "TS2007",
    "request_resumed",
    catalogue.Level.INFO,
    "request attempt upstream tokens reason",
    "The answer is resumed from another upstream exactly after the last byte that the"
    " caller received.",
)
CANCELLED = catalogue.declare(
    "TS2008",
    "attempt_cancelled",
    catalogue.Level.INFO,
    "request attempt upstream tokens reason",
    "An attempt was cancelled at its upstream, since no caller waits for it any more.",
)
FAILED = catalogue.declare(
    "TS2009",
    "request_failed",
    catalogue.Level.WARNING,
    "request workspace request_class code run reason",
    "The caller received an error; run says whether the request may have run.",
    "For outcome_unknown, check with the service itself before sending a new request.",
)
CALLER_LEFT = catalogue.declare(
    "TS2010",
    "caller_left",
    catalogue.Level.INFO,
    "request workspace request_class tokens seconds",
    "The caller closed the connection before the answer was complete.",
)
CLAIM_GRANTED = catalogue.declare(
    "TS2011",
    "claim_granted",
    catalogue.Level.INFO,
    "request workspace key attempt",
    "The claim was granted: only this request may run under its idempotency key.",
)
CLAIM_REFUSED = catalogue.declare(
    "TS2012",
    "claim_refused",
    catalogue.Level.INFO,
    "request workspace key reason holder",
    "The idempotency key is in use, finished or was used for another body; nothing was"
    " sent.",
)
CLAIM_UNKNOWN = catalogue.declare(
    "TS2013",
    "claim_unknown",
    catalogue.Level.WARNING,
    "request workspace key reason waited_seconds sent cut_off",
    "No quorum answered for the key in time; the request was refused, and this sending"
    " did not run. waited_seconds excludes the time for which this process was held up;"
    " cut_off is true when most control processes were not linked.",
    "See TS4xxx and TS5xxx: this data centre may be partitioned from the control"
    " voters.",
)
CLAIM_FINISHED = catalogue.declare(
    "TS2014",
    "claim_finished",
    catalogue.Level.INFO,
    "request workspace key status outcome seconds",
    "Control has replied, after this many seconds, that the answer under a key is"
    " recorded: from now on client retries receive it. With any other outcome than"
    " recorded they never will.",
)
REPLAYED = catalogue.declare(
    "TS2015",
    "answer_replayed",
    catalogue.Level.INFO,
    "request workspace key status",
    "A client retry under a finished key received the recorded answer; nothing ran"
    " again.",
)
LATE_ANSWER = catalogue.declare(
    "TS2016",
    "late_answer_dropped",
    catalogue.Level.INFO,
    "request attempt upstream tokens",
    "Output of an attempt that had timed out or been cancelled was dropped and counted"
    " as wasted.",
)
HEDGED = catalogue.declare(
    "TS2017",
    "request_hedged",
    catalogue.Level.INFO,
    "request attempt upstream reason",
    "A second attempt was started, since the first one seems to be a straggler.",
)
REJECTED = catalogue.declare(
    "TS2018",
    "request_rejected",
    catalogue.Level.INFO,
    "request door peer code message",
    "Invalid input: malformed JSON, an unknown key, a wrong type or a limit exceeded;"
    " not run.",
    "Nothing to do, unless one caller does it often: tell its owner the code.",
)
PRESSURE = catalogue.declare(
    "TS2019",
    "pressure_changed",
    catalogue.Level.INFO,
    "levels",
    "The lowest tier under pressure changed for a model; peers are notified.",
)
RETRIED = catalogue.declare(
    "TS2020",
    "request_retried",
    catalogue.Level.INFO,
    "request attempt upstream reason",
    "Another attempt was started after one that certainly did not run or was"
    " idempotent.",
)
