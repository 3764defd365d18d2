"""TS1xxx: the life of a process and its settings."""

from trestlestall.daemon.events import catalogue

STARTED = catalogue.declare(
    "TS1001",
    "process_started",
    catalogue.Level.INFO,
    "role data_centre version",
    "The process begins to open its addresses.",
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
    "A planned stop has begun: /readyz answers 503 and what runs is being finished.",
    "Wait for TS1004; a second signal cuts off what still runs.",
)
STOPPED = catalogue.declare(
    "TS1004",
    "process_stopped",
    catalogue.Level.INFO,
    "role status cut_off",
    "The process has ended; cut_off counts the requests that it did not finish.",
)
SETTINGS_READ = catalogue.declare(
    "TS1005",
    "settings_read",
    catalogue.Level.INFO,
    "role settings listen peers",
    "The settings file is right; the line says which addresses and peers it gives.",
)
ADDRESS_REFUSED = catalogue.declare(
    "TS1006",
    "address_refused",
    catalogue.Level.ERROR,
    "listener address reason",
    "An address of the settings could not be opened; the process ends.",
    "Find which process has the port, or whether the host has the address.",
)
INVARIANT_BROKEN = catalogue.declare(
    "TS1007",
    "invariant_broken",
    catalogue.Level.ERROR,
    "place error traceback",
    "The program met a state that it rules out; the process ends rather than go on.",
    "Restart it and report the line to the maintainers: this is a fault of ours.",
)
UNREADY = catalogue.declare(
    "TS1008",
    "process_unready",
    catalogue.Level.WARNING,
    "role reason",
    "/readyz answers 503 though no stop was asked for; the reason says why.",
    "See the reason: most often no configuration has been received yet.",
)
RELOADED = catalogue.declare(
    "TS1009",
    "settings_reloaded",
    catalogue.Level.INFO,
    "settings refused",
    "The settings file was read again; refused says why it could not be used, if so.",
    "Correct the file if it was refused; the former settings stay in use.",
)
SUSPENDED = catalogue.declare(
    "TS1010",
    "host_suspended",
    catalogue.Level.WARNING,
    "seconds",
    "The host was suspended for so long until now. What was due meanwhile is over:"
    " requests whose time has passed end, links that were silent are given up, a leader"
    " steps down. The lines that follow tell of each.",
    "Look at what suspended the host if this repeats.",
)
SUSPENSION_UNSEEN = catalogue.declare(
    "TS1011",
    "suspension_unseen",
    catalogue.Level.WARNING,
    "",
    "This system has no clock that counts a suspension of the host: deadlines and"
    " leases last longer by as much.",
    "Run the process where hosts are not suspended.",
)
