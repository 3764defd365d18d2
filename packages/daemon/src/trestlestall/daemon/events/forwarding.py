"""TS7xxx: forwarded requests at a gateway, and its cached view of upstreams."""

from trestlestall.daemon.events import catalogue

SENT = catalogue.declare(
    "TS7001",
    "forward_sent",
    catalogue.Level.INFO,
    "request route workspace digest rank route_tier workspace_tier upstream address"
    " attempt unread predicted taken taken_by_all failure_rate declaration seconds_left"
    " source fetch_from limit state version resumes parts",
    "An attempt of a request was sent to this upstream. digest is the same for all"
    " attempts of a caller with the same method, host, target and body; rank, with 0"
    " the most urgent, is derived from the tiers of the route and the workspace;"
    " unread is the expected number of prompt tokens that are not cached there;"
    " predicted is the time to the first event, in seconds; taken counts the running"
    " requests of this gateway at the upstream, taken_by_all those counted by the"
    " source of the choice, both including this one. The source is the directory that"
    " schedules for all gateways, or own for a choice by this gateway itself."
    " fetch_from is the upstream from which it fetches cached prefixes of the prompt;"
    " limit is the rate limit of the upstream in requests a second from all gateways,"
    " as known to the source, which has counted this request; state is the state of"
    " the upstream in the cached view of this gateway, version that of its software;"
    " resumes is the caller's request whose stream it takes up; parts are the parts of"
    " its prompt that other requests may have as well, shortened.",
)
ENDED = catalogue.declare(
    "TS7002",
    "forward_ended",
    catalogue.Level.INFO,
    "request route upstream status outcome reason attempts events seconds"
    " first_seconds longest_pause first_target pause_target port requests",
    "The caller has received its final answer or has closed the connection; outcome"
    " says which. The targets are those of the route, for the first event or the"
    " answer and for pauses between events. port is the gateway's own port of the"
    " last connection that the request was sent on, and requests how many were sent"
    " on it so far.",
)
REFUSED = catalogue.declare(
    "TS7003",
    "forward_refused",
    catalogue.Level.INFO,
    "request route status reason retry_after declaration seconds",
    "The request was refused by the gateway; with status 503 it has not run anywhere.",
    "When many are refused for one reason, compare the service's capacity with its"
    " demand.",
)
ATTEMPT_NOT_FINAL = catalogue.declare(
    "TS7004",
    "forward_repeated",
    catalogue.Level.INFO,
    "request route digest upstream outcome reason allowed runs seconds_left port"
    " requests",
    "An attempt ended without a final answer; allowed says whether the request may be"
    " retried, if the retry budget permits it. port and requests are as in"
    " forward_ended.",
)
RETRY_DENIED = catalogue.declare(
    "TS7005",
    "repeat_denied",
    catalogue.Level.INFO,
    "request service source sends",
    "The retry budget is exhausted, so the request is not sent again; source is the"
    " directory that keeps the budget, or own for the budget of this gateway itself.",
    "repeats_exhausted at the directory gives the number of retries.",
)
QUARANTINED = catalogue.declare(
    "TS7006",
    "request_held",
    catalogue.Level.WARNING,
    "request route digest part ends source sends",
    "The request is quarantined, so it is not sent, or not sent again: upstreams"
    " crashed while they ran it, under this or another request id, or while they"
    " answered requests with this part in their prompts. ends lists the"
    " incarnations that crashed and how many seconds ago, as far as they are known"
    " here; source is the directory that reported the quarantine, or own for evidence"
    " of this gateway.",
    "Find out what the request does at the upstream: forward_sent has its digest too;"
    " part_found_harmful at a directory tells why a part is held.",
)
UPSTREAM_AWAITED = catalogue.declare(
    "TS7007",
    "upstream_awaited",
    catalogue.Level.INFO,
    "request route reason reached seconds seconds_left",
    "No upstream took the request, for the reason, but a connection to another one had"
    " timed out just before, as after a lost packet. The request waited for seconds;"
    " reached lists the upstreams that can be connected to again, empty if none can.",
    "If this repeats, look at the listen queue of the upstream (upstream_unreachable).",
)
TIMEOUT_EXTENDED = catalogue.declare(
    "TS7008",
    "timeout_extended",
    catalogue.Level.INFO,
    "request route upstream reason seconds seconds_left",
    "The upstream has been silent for longer than the timeout, seconds after the"
    " request was sent there. No other one takes the request, for the reason, so its"
    " answer is awaited on.",
    "Look at the upstream; if the retry budget is the reason, at the failures that used"
    " it up.",
)
TAKEN_UP = catalogue.declare(
    "TS7009",
    "stream_taken_up",
    catalogue.Level.INFO,
    "request route resumes last_event service version source reason seconds",
    "A caller takes up a stream, naming in resumes the request that began it. service"
    " and version are of the software that began it, so only its upstreams go on;"
    " source is who knew it: a directory, own for this gateway, or the only version"
    " that has served for longer than the stream can last. reason says why it was"
    " refused instead, and seconds how long finding out took.",
    "Many that are not known: compare links and stream_records of the directories.",
)
UPSTREAM_CHANGED = catalogue.declare(
    "TS7010",
    "upstream_row",
    catalogue.Level.INFO,
    "upstream service address state version sequence source",
    "The cached row of an upstream changed, by an update from the source.",
)
UNREACHABLE = catalogue.declare(
    "TS7011",
    "upstream_unreachable",
    catalogue.Level.WARNING,
    "upstream address reason",
    "A connection to an upstream failed; it gets no requests while others can be"
    " connected to.",
    "Check the upstream if it stays unreachable.",
)
REACHED = catalogue.declare(
    "TS7012",
    "upstream_reached",
    catalogue.Level.INFO,
    "upstream address seconds",
    "An upstream that could not be connected to accepts connections again.",
)
ROW_REFUSED = catalogue.declare(
    "TS7013",
    "upstream_row_refused",
    catalogue.Level.WARNING,
    "upstream source reason",
    "A directory sent an invalid row of an upstream; the other rows are used.",
    "Compare the versions of the programs.",
)
UPSTREAM_CRASHED = catalogue.declare(
    "TS7014",
    "upstream_ended",
    catalogue.Level.WARNING,
    "upstream address broken blamed seconds",
    "An upstream crashed: it closed connections while requests ran there, and it"
    " refuses new ones or another incarnation uses its address. broken counts the"
    " requests of this gateway that broke off, blamed those that the crash counts"
    " against (none if the upstream had announced that it leaves), seconds is the time"
    " since the first of them.",
    "forward_repeated of this upstream has the digests of the requests that ran there,"
    " and forward_sent the parts of their prompts; look for one that several crashed"
    " upstreams have in common.",
)
UPSTREAM_SIGNAL = catalogue.declare(
    "TS7015",
    "upstream_notice",
    catalogue.Level.INFO,
    "upstream service address request limit leaves rest_seconds brittle unreadable",
    "The signals in an upstream's answers changed, or it asked for backoff: limit is"
    " its rate limit in requests a second from all gateways together (null for no"
    " limit), leaves that it accepts no new requests, rest_seconds the time for which"
    " it wants none from this gateway, brittle how many rejections a second it survives"
    " (null if it states none), unreadable the headers whose values are invalid"
    " and were ignored. The request is the one that was answered.",
    "If a header is unreadable, look at the upstream's version.",
)
SERVICE_UNREACHABLE = catalogue.declare(
    "TS7016",
    "service_unreachable",
    catalogue.Level.ERROR,
    "service known unreachable refused timed_out seconds",
    "No upstream of the service can be connected to from this gateway. known counts"
    " those that serve; refused those whose host refused the connection or closed"
    " others, timed_out those whose host did not reply; seconds is the time since the"
    " first of them became unreachable.",
    "If other gateways reach them, this gateway is partitioned from them: look at its"
    " network links. If none does, look at the upstreams.",
)
SERVICE_REACHED = catalogue.declare(
    "TS7017",
    "service_reached",
    catalogue.Level.INFO,
    "service known unreachable seconds",
    "An upstream of a service can be connected to again, after seconds in which none"
    " could be.",
)
REACHED_BY_PEER = catalogue.declare(
    "TS7018",
    "upstream_reached_by_peer",
    catalogue.Level.WARNING,
    "upstream address seconds",
    "A peer connects to an upstream that this gateway itself can't connect to, seconds"
    " after its loss; requests are sent through peers until it is reached again.",
    "This gateway is partitioned from the upstream: look at its network links.",
)
PEER_LOST = catalogue.declare(
    "TS7019",
    "upstream_lost_by_peers",
    catalogue.Level.WARNING,
    "upstream address seconds",
    "No peer connects to the upstream any more, seconds after this gateway lost it.",
    "Look at the upstream, and at tunnel_opened for the reasons.",
)
APPLIED = catalogue.declare(
    "TS7020",
    "declaration_applied",
    catalogue.Level.INFO,
    "declaration previous source routes workspaces",
    "This version of the declared configuration is now in force in this gateway.",
)
UNDECODABLE = catalogue.declare(
    "TS7021",
    "declaration_undecodable",
    catalogue.Level.ERROR,
    "declaration source reason",
    "A version that the directory stores can't be decoded here; the previous one stays"
    " in force.",
    "Compare the versions of the programs; a newer one may have accepted it.",
)
TUNNEL_OPENED = catalogue.declare(
    "TS7022",
    "tunnel_opened",
    catalogue.Level.INFO,
    "upstream address peer data_centre reason seconds",
    "A tunnel to an upstream through a peer was asked for, which took seconds; reason"
    " is why it did not open, empty if it did.",
)
TUNNEL_USED = catalogue.declare(
    "TS7023",
    "tunnel_used",
    catalogue.Level.INFO,
    "request gateway upstream address",
    "Another gateway sends the request to the upstream through this one. The lines of"
    " the request itself are in the log of that gateway.",
)
TUNNEL_REFUSED = catalogue.declare(
    "TS7024",
    "tunnel_refused",
    catalogue.Level.INFO,
    "gateway upstream reason",
    "No tunnel was opened for another gateway, for the reason; gateway is empty if it"
    " could not prove to be one.",
    "If an unknown process asks, look for who has the address.",
)
SENT_BY_PEER = catalogue.declare(
    "TS7025",
    "forward_sent_by_peer",
    catalogue.Level.INFO,
    "request upstream address peer",
    "The request is sent through a peer, whose log has tunnel_used for it.",
)
IDENTITY_PROVEN = catalogue.declare(
    "TS7026",
    "identity_proven",
    catalogue.Level.INFO,
    "request upstream address version seconds",
    "An upstream goes on with a stream: an announcement that is younger than a"
    " connection to it shows which version answers. seconds is how long the request"
    " waited for that.",
)
IDENTITY_UNPROVEN = catalogue.declare(
    "TS7027",
    "identity_unproven",
    catalogue.Level.WARNING,
    "request upstream address version seconds",
    "An upstream was chosen to go on with a stream, but may have started again as"
    " another version since it was announced; the request was not sent there.",
    "If this repeats, compare its announcements with the links of this gateway.",
)
ABORTED = catalogue.declare(
    "TS7028",
    "attempt_aborted",
    catalogue.Level.INFO,
    "request upstream port reason",
    "The gateway ended an attempt by itself, for the reason, and shut down its"
    " connection, which has the port; null if it had none yet.",
)
ANSWER_SKIPPED = catalogue.declare(
    "TS7029",
    "answer_skipped",
    catalogue.Level.WARNING,
    "request upstream port requests status echo",
    "An answer arrived where that of the request was due, but is not known to be its:"
    " it names another request (echo is other) or none (missing). It decides nothing,"
    " and the request's own answer is waited for. requests is how many were sent on the"
    " connection so far, this one included.",
    "The upstream sends answers twice; port leads to the request whose answer it was.",
)
SCHEDULER_CHANGED = catalogue.declare(
    "TS7030",
    "arbiter_changed",
    catalogue.Level.INFO,
    "arbiter previous tasks",
    "Another directory now schedules the requests of this gateway; it was sent the"
    " running requests.",
)
SCHEDULER_UNRESPONSIVE = catalogue.declare(
    "TS7031",
    "arbiter_silent",
    catalogue.Level.WARNING,
    "arbiter seconds",
    "The directory that schedules requests did not answer in time; for a moment this"
    " gateway chooses upstreams by its own cached view.",
    "See whether the directory or the link to it is overloaded if this repeats.",
)
CHOICE_OVERRIDDEN = catalogue.declare(
    "TS7032",
    "choice_not_followed",
    catalogue.Level.INFO,
    "request upstream state rest_seconds arbiter",
    "The directory that schedules requests chose an upstream that accepts none"
    " according to this gateway, since it has meanwhile announced that it leaves or"
    " asked for backoff; the gateway asks for another one.",
    "If it continues, the directory is partitioned from the others: look at its links.",
)
FAILED = catalogue.declare(
    "TS7033",
    "forward_failed",
    catalogue.Level.ERROR,
    "request error",
    "An error of this program ended a request. The caller got 502 if no answer had"
    " begun; otherwise the connection was cut.",
    "Report it with the lines of the request.",
)
CALLER_CLOSED = catalogue.declare(
    "TS7034",
    "caller_closed",
    catalogue.Level.WARNING,
    "open limit seconds left_out",
    "So many connections of callers are open that one was closed for a new one: the one"
    " that had waited longest, for seconds, for a request or the rest of one. left_out"
    " counts those that were closed since the last such line.",
    "See who opens them; clients.connections is the limit, and half of the descriptors"
    " that the process may open.",
)
