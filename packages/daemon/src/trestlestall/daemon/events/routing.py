"""TS2xxx: what happens to requests, from arrival to answer."""

from trestlestall.daemon.events import catalogue

ARRIVED = catalogue.declare(
    "TS2001",
    "request_arrived",
    catalogue.Level.INFO,
    "request workspace target request_class tier prompt_tokens max_tokens stream key",
    "A caller's request passed its checks and was given a class.",
)
ADMITTED = catalogue.declare(
    "TS2002",
    "request_admitted",
    catalogue.Level.INFO,
    "request workspace request_class tier queued predicted reason",
    "The request is expected to meet its target and waits for or goes to an upstream.",
)
REFUSED = catalogue.declare(
    "TS2003",
    "request_refused",
    catalogue.Level.INFO,
    "request workspace request_class tier code retry_after reason",
    "The request was refused before any upstream had it: this sending did not run.",
    "When many of one class are refused, compare its demand and target with capacity.",
)
SENT = catalogue.declare(
    "TS2004",
    "request_sent",
    catalogue.Level.INFO,
    "request workspace request_class attempt upstream priority candidates reason",
    "An attempt went to an upstream; candidates and reason say why to this one.",
)
FINISHED = catalogue.declare(
    "TS2005",
    "request_finished",
    catalogue.Level.INFO,
    "request workspace request_class attempt upstream status tokens seconds"
    " first_token_seconds on_time",
    "The caller has received the whole answer.",
)
BROKEN = catalogue.declare(
    "TS2006",
    "attempt_broken",
    catalogue.Level.WARNING,
    "request attempt upstream tokens reason",
    "An attempt ended before its answer was whole; it may have run.",
    "When one upstream stands in many of these lines, drain it.",
)
RESUMED = catalogue.declare(
    "TS2007",
    "request_resumed",
    catalogue.Level.INFO,
    "request attempt upstream tokens reason",
    "The answer goes on from another upstream exactly where the caller's bytes end.",
)
CANCELLED = catalogue.declare(
    "TS2008",
    "attempt_cancelled",
    catalogue.Level.INFO,
    "request attempt upstream tokens reason",
    "An attempt was stopped at its upstream, since nobody waits for it any more.",
)
FAILED = catalogue.declare(
    "TS2009",
    "request_failed",
    catalogue.Level.WARNING,
    "request workspace request_class code run reason",
    "The caller received an error; run says whether the request may have run.",
    "For outcome_unknown, ask the service itself before sending a new request.",
)
CALLER_LEFT = catalogue.declare(
    "TS2010",
    "caller_left",
    catalogue.Level.INFO,
    "request workspace request_class tokens seconds",
    "The caller closed the connection before the answer was whole.",
)
CLAIM_GRANTED = catalogue.declare(
    "TS2011",
    "claim_granted",
    catalogue.Level.INFO,
    "request workspace key attempt",
    "This request alone may run under its idempotency key.",
)
CLAIM_REFUSED = catalogue.declare(
    "TS2012",
    "claim_refused",
    catalogue.Level.INFO,
    "request workspace key reason holder",
    "The key is held, finished or was used for another body; nothing was sent.",
)
CLAIM_UNKNOWN = catalogue.declare(
    "TS2013",
    "claim_unknown",
    catalogue.Level.WARNING,
    "request workspace key reason",
    "No quorum answered for the key in time; refused, and this sending did not run.",
    "See TS4xxx and TS5xxx: this data centre may be cut off from the control voters.",
)
CLAIM_FINISHED = catalogue.declare(
    "TS2014",
    "claim_finished",
    catalogue.Level.INFO,
    "request workspace key status outcome seconds",
    "Control has answered, after so many seconds, that the answer under a key is on"
    " record: from now on a resend gets it. With any other outcome than recorded it"
    " never will.",
)
REPLAYED = catalogue.declare(
    "TS2015",
    "answer_replayed",
    catalogue.Level.INFO,
    "request workspace key status",
    "A resend under a finished key received the first answer; nothing ran again.",
)
LATE_ANSWER = catalogue.declare(
    "TS2016",
    "late_answer_dropped",
    catalogue.Level.INFO,
    "request attempt upstream tokens",
    "Output of an attempt that had been given up was dropped and counted as waste.",
)
HEDGED = catalogue.declare(
    "TS2017",
    "request_hedged",
    catalogue.Level.INFO,
    "request attempt upstream reason",
    "A second attempt was started since the first seems to straggle.",
)
REJECTED = catalogue.declare(
    "TS2018",
    "request_rejected",
    catalogue.Level.INFO,
    "request door peer code message",
    "Bad input: broken JSON, unknown key, wrong shape or over a limit; not run.",
    "Nothing to do, unless one caller does it often: tell its owner the code.",
)
PRESSURE = catalogue.declare(
    "TS2019",
    "pressure_changed",
    catalogue.Level.INFO,
    "levels",
    "The lowest tier under pressure changed for a model; peers are told.",
)
RETRIED = catalogue.declare(
    "TS2020",
    "request_retried",
    catalogue.Level.INFO,
    "request attempt upstream reason",
    "Another attempt was started after one that surely did not run or was idempotent.",
)
