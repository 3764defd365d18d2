"""TS1xxx: the life cycle of a process and its settings."""

from trestlestall.daemon.events import catalogue

STARTED = catalogue.declare(
    "TS1001",
    "process_started",
    catalogue.Level.INFO,
    "role data_centre version",
    "The process has started and is about to open its addresses.",
)
READY = catalogue.declare(
    "TS1002",
    "process_ready",
    catalogue.Level.INFO,
    "role configuration listen",
    "All addresses are open and /readyz answers 200.",
)
STOPPING = catalogue.declare(
    "TS1003",
    "process_stopping",
    catalogue.Level.INFO,
    "role running",
    "A planned stop has begun: /readyz answers 503, and running requests are being"
    " finished.",
    "Wait for TS1004; a second signal aborts the requests that still run.",
)
STOPPED = catalogue.declare(
    "TS1004",
    "process_stopped",
    catalogue.Level.INFO,
    "role status cut_off",
    "The process has ended; cut_off counts the requests that it aborted.",
)
SETTINGS_READ = catalogue.declare(
    "TS1005",
    "settings_read",
    catalogue.Level.INFO,
    "role settings listen peers",
    "The settings file is valid; the line gives its addresses and peers.",
)
ADDRESS_REFUSED = catalogue.declare(
    "TS1006",
    "address_refused",
    catalogue.Level.ERROR,
    "listener address reason",
    "The process could not listen on an address of the settings, and ends.",
    "Find which process uses the port, or whether the host has the address.",
)
INVARIANT_BROKEN = catalogue.declare(
    "TS1007",
    "invariant_broken",
    catalogue.Level.ERROR,
    "place error traceback",
    "A component failed without which the process can't run, or the program reached a"
    " state that should be impossible; the process ends.",
    "Restart it and report the line to the maintainers: this is a fault of the"
    " program.",
)
UNREADY = catalogue.declare(
    "TS1008",
    "process_unready",
    catalogue.Level.WARNING,
    "role reason",
    "/readyz answers 503 although no stop was requested; the reason says why.",
    "See the reason: most often no configuration has been received yet.",
)
RELOADED = catalogue.declare(
    "TS1009",
    "settings_reloaded",
    catalogue.Level.INFO,
    "settings refused",
    "The settings file was reloaded; refused is the reason why it was not used, if"
    " any.",
    "If it was refused, correct the file; the previous settings stay in use.",
)
SUSPENDED = catalogue.declare(
    "TS1010",
    "host_suspended",
    catalogue.Level.WARNING,
    "seconds",
    "The host was suspended for this many seconds until now. Whatever became due in"
    " that time has expired: requests past their deadline end, links without a"
    " heartbeat are closed, a leader steps down. The lines that follow report each of"
    " these.",
    "Find out what suspended the host if this repeats.",
)
SUSPENSION_UNSEEN = catalogue.declare(
    "TS1011",
    "suspension_unseen",
    catalogue.Level.WARNING,
    "",
    "This system has no clock that includes suspensions of the host: deadlines and"
    " leases are extended by the length of a suspension.",
    "Run the process on hosts that are not suspended.",
)
