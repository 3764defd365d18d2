"""TS9xxx: usage reports and orders, the duties of one directory at a time."""

from trestlestall.daemon.events import catalogue

ACQUIRED = catalogue.declare(
    "TS9001",
    "duties_taken",
    catalogue.Level.INFO,
    "token previous seconds",
    "This directory acquired the lease of the duties; previous is the last holder,"
    " seconds the time for which its lease had not been renewed.",
)
LOST = catalogue.declare(
    "TS9002",
    "duties_lost",
    catalogue.Level.WARNING,
    "token holder successor",
    "This directory no longer holds the lease of the duties; another one acquired it"
    " under the successor's fencing token.",
    "Find out what kept it from the log: a network partition, a pause, a slow disk.",
)
LAPSED = catalogue.declare(
    "TS9003",
    "duties_suspended",
    catalogue.Level.WARNING,
    "token seconds",
    "The lease was not renewed in time, so no calls are made under it any more;"
    " seconds is the time since the last renewal was requested.",
    "Find out what kept it from the log: a network partition, a pause, a slow disk.",
)
SUPERSEDED = catalogue.declare(
    "TS9004",
    "duties_superseded",
    catalogue.Level.ERROR,
    "token call",
    "The platform has seen a higher fencing token than this holder's, which releases"
    " the lease and never acts under its token again.",
    "Find out who else calls the platform: two deployments, or a restored disk.",
)
USAGE_COMMITTED = catalogue.declare(
    "TS9010",
    "usage_fixed",
    catalogue.Level.INFO,
    "token window requests workspaces age silent_directories silent_sources",
    "The request counts of a reporting window were committed to the log; age is the"
    " time since the end of the window, and the silent directories and sources had not"
    " reported all of it.",
    "With silent ones the counts may be too low: look for network partitions and"
    " crashes at that time.",
)
REPORTED = catalogue.declare(
    "TS9011",
    "usage_reported",
    catalogue.Level.INFO,
    "token window requests age",
    "The platform accepted the report of a reporting window.",
)
USAGE_TIMED_OUT = catalogue.declare(
    "TS9012",
    "usage_given_up",
    catalogue.Level.ERROR,
    "token window requests age",
    "A reporting window was not reported before its time-out.",
    "Look at the failed calls before; the counts are in usage_fixed.",
)
ORDERED = catalogue.declare(
    "TS9020",
    "upstreams_ordered",
    catalogue.Level.INFO,
    "token service data_centre reclaimable count previous serving need",
    "The target number of upstreams changed; previous is the number before, serving"
    " the number that accept requests, need the capacity in upstreams that all"
    " requests of the service need.",
)
ORDER_ACCEPTED = catalogue.declare(
    "TS9021",
    "order_taken",
    catalogue.Level.INFO,
    "token service data_centre reclaimable count seconds",
    "The platform accepted an order of upstreams.",
)
CALL_FAILED = catalogue.declare(
    "TS9030",
    "platform_call_failed",
    catalogue.Level.WARNING,
    "token call status verdict reason seconds pause",
    "The platform did not accept a call; it is retried after the pause, in seconds.",
    "Status 429: too many calls. Without a status: the platform can't be reached.",
)
STARTS_REFUSED = catalogue.declare(
    "TS9031",
    "starts_refused",
    catalogue.Level.WARNING,
    "source reason",
    "Another process sent invalid counts of started requests; nothing changed.",
    "Compare the versions of the programs.",
)
STARTS_FILE_REFUSED = catalogue.declare(
    "TS9032",
    "starts_file_refused",
    catalogue.Level.WARNING,
    "folder reason",
    "The file of the counts of started requests can't be read or written; the running"
    " processes keep the counts in memory.",
    "Look at the disk; a file that can't be read may be removed.",
)
