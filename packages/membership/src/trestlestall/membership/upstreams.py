"""What an upstream announces: its identity, its capabilities and its load."""

import dataclasses
import typing

from trestlestall.membership import limits

ENGINE = "engine"
SERVICE = "service"


@dataclasses.dataclass(frozen=True, order=True)
class Capabilities:
    """Optional features that an engine supports. A plain service has none of these.

    ``checks_fencing``: the engine refuses an order with an old fencing token; other
    engines ignore the token.
    """

    priorities: bool = False
    cancel: bool = False
    resume: bool = False
    kv_transfer: bool = False
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, order=True)
class Report:
    """An upstream's load at one moment, which has passed when the report arrives.

    ``at`` is in seconds by the upstream's own clock: it orders the reports of one
    upstream and is never compared with a router's clock. ``received_at`` is the time of
    receipt in seconds by the router's clock; the table sets it, whatever the upstream
    sent. ``running`` and ``waiting`` count requests, ``tokens_per_second`` is the
    upstream's total output, and ``kv_used`` the used share (0..1) of its KV cache.
    """

    at: limits.Time = 0.0
    running: limits.Count = 0
    waiting: limits.Count = 0
    tokens_per_second: limits.Rate = 0.0
    kv_used: limits.Share = 0.0
    received_at: limits.Time = 0.0


@dataclasses.dataclass(frozen=True, order=True)
class Upstream:
    """One upstream as it announced itself.

    ``incarnation`` grows with each start of the process (for example its start time in
    milliseconds), so that a restart under the same name and address is another
    upstream. ``address`` is ``IP:port``; ``slots`` is how many requests it runs at a
    time. ``version`` is that of its software, empty if it announces none: streams are
    resumed only at the version that began them.
    """

    name: limits.Name
    incarnation: limits.Incarnation
    data_centre: limits.Name
    address: limits.Text
    kind: typing.Literal["engine", "service"] = ENGINE
    models: limits.Names = ()
    adapters: limits.Names = ()
    capabilities: Capabilities = Capabilities()
    slots: limits.Count = 1
    report: Report = Report()
    version: limits.Text = ""


def with_report(upstream: Upstream, report: Report) -> Upstream:
    """Return the upstream with another report.

    Calls the constructor directly: ``dataclasses.replace`` takes several times as long,
    and this runs for every renewal.
    """
    return Upstream(
        upstream.name,
        upstream.incarnation,
        upstream.data_centre,
        upstream.address,
        upstream.kind,
        upstream.models,
        upstream.adapters,
        upstream.capabilities,
        upstream.slots,
        report,
        upstream.version,
    )


def with_receipt(report: Report, received_at: float) -> Report:
    """Return the report with a time of receipt, and ``at`` rounded to milliseconds.

    Rows between routers carry milliseconds, and a report must be equal on all routers.
    """
    return Report(
        round(report.at, 3),
        report.running,
        report.waiting,
        report.tokens_per_second,
        report.kv_used,
        received_at,
    )
