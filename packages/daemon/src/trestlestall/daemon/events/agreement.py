"""TS4xxx: the control voters, their log and the configuration in force."""

from trestlestall.daemon.events import catalogue

APPLIED = catalogue.declare(
    "TS4001",
    "configuration_applied",
    catalogue.Level.INFO,
    "configuration previous source",
    "This version of the configuration is now in force in this process.",
)
ELECTED = catalogue.declare(
    "TS4002",
    "leader_elected",
    catalogue.Level.INFO,
    "term voters granted excluded",
    "This control process became the leader; granted has those that voted for it,"
    " excluded the voters that had lost their disks.",
)
DEPOSED = catalogue.declare(
    "TS4003",
    "leader_deposed",
    catalogue.Level.WARNING,
    "term reason",
    "This control process is no longer the leader and doesn't answer as one.",
    "Nothing to do once; when it repeats, look at the links between the voters.",
)
VOTER_ADDED = catalogue.declare(
    "TS4004",
    "voter_added",
    catalogue.Level.INFO,
    "voter operator voters",
    "A voter has caught up and counts towards the quorum.",
)
VOTER_REMOVED = catalogue.declare(
    "TS4005",
    "voter_removed",
    catalogue.Level.INFO,
    "voter operator voters",
    "A voter no longer counts towards the quorum.",
)
SNAPSHOT_SAVED = catalogue.declare(
    "TS4006",
    "snapshot_saved",
    catalogue.Level.INFO,
    "index configuration bytes kept_records",
    "The log was compacted into a snapshot, which was synced to disk.",
)
SNAPSHOT_RESTORED = catalogue.declare(
    "TS4007",
    "snapshot_restored",
    catalogue.Level.INFO,
    "index configuration source",
    "The state was restored from a snapshot, at the start or from the leader.",
)
ROUTER_LAGS = catalogue.declare(
    "TS4008",
    "router_lags",
    catalogue.Level.WARNING,
    "router configuration newest seconds",
    "A router has not acknowledged the newest version for some seconds.",
    "Check the router and its links; it keeps serving with the older version.",
)
COMMAND_ACCEPTED = catalogue.declare(
    "TS4009",
    "command_accepted",
    catalogue.Level.INFO,
    "configuration operator request_id command",
    "An operator's command was committed and became this version.",
)
COMMAND_REJECTED = catalogue.declare(
    "TS4010",
    "command_rejected",
    catalogue.Level.INFO,
    "operator request_id code message",
    "An operator's command was not valid for the current configuration.",
)
COMMAND_BEATEN = catalogue.declare(
    "TS4011",
    "command_beaten",
    catalogue.Level.INFO,
    "operator request_id number winner",
    "Another command took the version number that this one asked for; nothing changed.",
    "The operator reads the winner and decides whether to send the command again.",
)
QUORUM_LOST = catalogue.declare(
    "TS4012",
    "quorum_lost",
    catalogue.Level.ERROR,
    "term reachable voters",
    "Too few voters can be reached: no command or claim can be committed here.",
    "Restore the links, or replace voters whose disks are lost.",
)
CONFIGURATION_OLD = catalogue.declare(
    "TS4013",
    "configuration_old",
    catalogue.Level.WARNING,
    "configuration age_seconds",
    "This router is partitioned from control and serves with its last configuration.",
    "Restore the link to a control process.",
)
STORAGE_REFUSED = catalogue.declare(
    "TS4014",
    "storage_refused",
    catalogue.Level.ERROR,
    "folder reason",
    "The data folder is damaged, full or in use; the process ends.",
    "Free space, stop the other process, or replace the voter; never repair it by"
    " hand.",
)
LOG_RECOVERED = catalogue.declare(
    "TS4015",
    "log_recovered",
    catalogue.Level.INFO,
    "records cut_bytes index",
    "The log was read at the start; cut_bytes is the length of a torn tail that was"
    " truncated and had never been acknowledged.",
)
OLD_VERSION_IGNORED = catalogue.declare(
    "TS4016",
    "old_version_ignored",
    catalogue.Level.INFO,
    "configuration offered source",
    "An older version than the one in force was received and not applied.",
)
TIMING_ADAPTED = catalogue.declare(
    "TS4017",
    "election_timeout_adapted",
    catalogue.Level.INFO,
    "sync_seconds election_seconds",
    "Syncs of this voter's data folder take so long that an election takes longer: it"
    " waits for a silent leader for election_seconds, up to twice that, before it"
    " stands for election; or its disk has become faster again.",
    "Find out what else writes to the disk.",
)
ELECTION_UNDECIDED = catalogue.declare(
    "TS4018",
    "election_undecided",
    catalogue.Level.WARNING,
    "term granted denied excluded voters elections",
    "This voter stood for election and got no quorum: those in neither granted nor"
    " denied did not respond, and excluded have lost their disks. voters has the"
    " voters before an uncommitted change and those after it, and a quorum of each is"
    " needed. It stands again after a timeout; elections counts alike ones in a row,"
    " of which the first, second, fourth and so on are logged.",
    "When it repeats, start the silent voters, or look at the links to them.",
)
DISK_LOST = catalogue.declare(
    "TS4019",
    "voter_disk_lost",
    catalogue.Level.WARNING,
    "voter",
    "This voter's host runs with another disk, so this voter will never vote again.",
    "With control processes, replace the voter; directories do so by themselves.",
)
