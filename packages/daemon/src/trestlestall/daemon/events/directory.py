"""TS8xxx: the directory's configuration, voters and announcements."""

from trestlestall.daemon.events import catalogue

DECLARATION_ANSWERED = catalogue.declare(
    "TS8001",
    "declaration_taken",
    catalogue.Level.INFO,
    "declaration status newest bytes seconds",
    "An operator's document was answered; newest is the version in force afterwards.",
)
REFUSED = catalogue.declare(
    "TS8002",
    "declaration_refused",
    catalogue.Level.INFO,
    "declaration reason bytes",
    "An operator's document is not a valid configuration; nothing changed.",
    "Send a corrected document.",
)
READ = catalogue.declare(
    "TS8003",
    "declaration_read",
    catalogue.Level.INFO,
    "declaration status seconds",
    "An operator read the configuration; status 503 means that no quorum confirmed it.",
)
IN_FORCE = catalogue.declare(
    "TS8004",
    "declaration_in_force",
    catalogue.Level.INFO,
    "declaration previous index leader",
    "The replicated log made this version the newest one; gateways are notified.",
)
ANNOUNCED = catalogue.declare(
    "TS8010",
    "announcement_taken",
    catalogue.Level.INFO,
    "upstream service address state version sequence told",
    "An upstream announced a change; told counts the processes that it was sent to.",
)
ANNOUNCEMENT_REFUSED = catalogue.declare(
    "TS8011",
    "announcement_unreadable",
    catalogue.Level.WARNING,
    "upstream sender reason left_out",
    "An announcement was invalid and changed nothing; left_out counts those since the"
    " last line, as there is at most one line a second.",
    "Compare the upstream's version with the documented format.",
)
RETRIES_EXHAUSTED = catalogue.declare(
    "TS8012",
    "repeats_exhausted",
    catalogue.Level.WARNING,
    "service requests repeats limit standing left_out",
    "A retry was denied; at most one line a second for each service. requests and"
    " repeats count the requests and retries in the window, over all gateways;"
    " standing is whole, or part if the directory may have missed some of the window.",
    "Look for what fails at the service; a request that ends because of this has"
    " repeat_denied.",
)
HARMFUL = catalogue.declare(
    "TS8013",
    "request_found_harmful",
    catalogue.Level.WARNING,
    "digest ends",
    "Several upstreams crashed while they ran requests of this digest, which is"
    " quarantined: it is not sent any more. ends lists the incarnations that crashed"
    " and how many seconds ago.",
    "request_held at the gateways has the ids and the route of its attempts.",
)
QUARANTINE_LIFTED = catalogue.declare(
    "TS8014",
    "request_excused",
    catalogue.Level.INFO,
    "digest",
    "The quarantine of this digest is over and its requests are sent again: one was"
    " answered, the upstreams turned out not to have crashed, or the quarantine"
    " expired.",
)
REPORT_REFUSED = catalogue.declare(
    "TS8015",
    "crash_report_refused",
    catalogue.Level.WARNING,
    "source reason",
    "Another process sent an invalid report of crashed upstreams; nothing changed.",
    "Compare the versions of the programs.",
)
QUARANTINE_FILE_REFUSED = catalogue.declare(
    "TS8016",
    "held_file_refused",
    catalogue.Level.WARNING,
    "folder reason",
    "The file of quarantined requests can't be read or written; the running processes"
    " keep the quarantine in memory.",
    "Look at the disk; a file that can't be read may be removed.",
)
LIMIT_ADVERTISED = catalogue.declare(
    "TS8017",
    "upstream_limit",
    catalogue.Level.INFO,
    "upstream limit age source",
    "The advertised limit of an upstream changed, in requests a second from all"
    " gateways together (null for no limit any more); source is the gateway that it"
    " answered age seconds ago. Requests to the upstream are counted here.",
    "The upstream is overloaded while it advertises a limit: look at its load and its"
    " memory.",
)
LIMITS_REFUSED = catalogue.declare(
    "TS8018",
    "upstream_limit_refused",
    catalogue.Level.WARNING,
    "source reason",
    "A gateway sent an invalid report of advertised limits; nothing changed.",
    "Compare the versions of the programs.",
)
POOLS = catalogue.declare(
    "TS8019",
    "upstream_groups",
    catalogue.Level.INFO,
    "service upstreams tokens_per_second",
    "The QoS classes of a service's requests are kept apart in pools: upstreams gives"
    " the size of each pool, by its shortest pause in seconds, tokens_per_second the"
    " prompt tokens that each class brings.",
)
VOTER_CHANGE = catalogue.declare(
    "TS8020",
    "voter_change_begun",
    catalogue.Level.WARNING,
    "add remove reason voters",
    "The leader starts to change the voters automatically, for the reason given.",
    "Nothing to do; look at the host if one was removed that should be there.",
)
VOTER_CHANGE_ENDED = catalogue.declare(
    "TS8021",
    "voter_change_ended",
    catalogue.Level.INFO,
    "add remove outcome voters",
    "An automatic change of voters by the leader ended.",
)
GROUP_FORMED = catalogue.declare(
    "TS8022",
    "group_formed",
    catalogue.Level.INFO,
    "voters own",
    "The initial group of voters is known to this process.",
)
SPEEDS_REFUSED = catalogue.declare(
    "TS8023",
    "speeds_refused",
    catalogue.Level.WARNING,
    "source reason",
    "A directory sent an invalid report of upstreams' speeds; nothing changed.",
    "Compare the versions of the programs.",
)
FEATURES = catalogue.declare(
    "TS8024",
    "placing_parts",
    catalogue.Level.INFO,
    "service upstreams slots on allowed least_upstreams least_slots",
    "The optional features of the choice of upstreams: those that the settings allow,"
    " at the start (without a service), and whether a service is large enough for"
    " them, when that changes.",
)
LIMIT_EXCEEDED = catalogue.declare(
    "TS8025",
    "limit_exceeded",
    catalogue.Level.WARNING,
    "upstream limit excess source suppressed",
    "Other directories placed more requests at an upstream than its limit allows, as"
    " counted here: this directory places none there for excess seconds and more."
    " source is the gateway that reported the latest request, suppressed the number of"
    " lines left out before.",
    "Several directories place requests at once: look for links that are lost and for"
    " processes that are held up.",
)
BRITTLE = catalogue.declare(
    "TS8026",
    "upstream_brittle",
    catalogue.Level.WARNING,
    "upstream rejections age source",
    "An upstream ends if it rejects more requests in a second than rejections (null: it"
    " no longer says so), by the word of this gateway, age seconds ago. Requests for"
    " its service are kept within the room that is known.",
    "Its service needs more upstreams, or less load.",
)
REJECTION = catalogue.declare(
    "TS8027",
    "brittle_rejection",
    catalogue.Level.INFO,
    "upstream held source",
    "A brittle upstream rejected a request of this gateway for lack of room, while held"
    " requests were counted there; it is sent fewer from now on.",
)
BRITTLE_REFUSED = catalogue.declare(
    "TS8028",
    "brittle_refused",
    catalogue.Level.WARNING,
    "source reason",
    "A gateway sent an invalid report of brittle upstreams; nothing changed.",
    "Compare the versions of the programs.",
)
GROUP_CHOSEN = catalogue.declare(
    "TS8029",
    "group_chosen",
    catalogue.Level.INFO,
    "voters own",
    "The first group of voters is known, and is stored before it takes effect; without"
    " a group_formed after it, the disk has not confirmed it yet.",
    "Look at the disk of the data folder.",
)
SYNC_SLOW = catalogue.declare(
    "TS8030",
    "sync_slow",
    catalogue.Level.WARNING,
    "seconds",
    "The process waited for its disk for so long, in which it did nothing else.",
    "Look at the disk of the data folder, and at who else writes to it.",
)
PART_HELD = catalogue.declare(
    "TS8031",
    "part_found_harmful",
    catalogue.Level.WARNING,
    "context part ends evidence",
    "Several upstreams crashed while they answered requests with this part in their"
    " prompts, and no other part explains that better: requests with it are not sent"
    " any more. context is the service and the model; ends lists the incarnations that"
    " crashed and how many seconds ago. evidence has what decided: score, the number of"
    " crashes that can't have one common cause, and for how many seconds requests with"
    " the part were answered since the first.",
    "forward_sent has the parts of each request; the caller can tell which text it is.",
)
PART_RELEASED = catalogue.declare(
    "TS8032",
    "part_released",
    catalogue.Level.INFO,
    "context part",
    "Requests with this part are sent again: one was answered, or another part explains"
    " the crashes better.",
)
RETRIES_GRANTED = catalogue.declare(
    "TS8033",
    "repeats_granted",
    catalogue.Level.INFO,
    "service requests sources limit standing granted acknowledged left_out",
    "A retry was granted; at most one line a second for each service. requests counts"
    " those in the window, sources the retries by the directory process that granted"
    " them, as known here. granted is how many this process has granted in total, and"
    " acknowledged how many of these each other directory has acknowledged.",
    "Compare sources between directories: a process that one of them leaves out was"
    " unknown to it at that moment.",
)
