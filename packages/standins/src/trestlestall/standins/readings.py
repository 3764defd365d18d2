"""Resource usage of a daemon, from ``/proc``, its metrics and its data folder."""

import dataclasses
import time

from trestlestall.standins import calls, deployment, usage

SENT = "trestlestall_control_sent_bytes_total"
RECEIVED = "trestlestall_control_received_bytes_total"


@dataclasses.dataclass(frozen=True)
class Reading:
    """Totals of one daemon at a time, or their growth per second.

    ``memory`` and ``disk`` are in bytes and never a rate; ``cpu`` is in seconds (a rate
    of 1 is a whole core); ``sent`` and ``received`` are bytes on links between daemons.
    """

    at: float
    memory: float
    disk: float
    cpu: float
    sent: float
    received: float


MEASURES = ("memory", "disk", "cpu", "sent", "received")


def read(daemon: deployment.Daemon) -> Reading:
    """Return the current totals of a daemon."""
    used = usage.read(daemon.process.pid)
    metrics = read_metrics(daemon)
    return Reading(
        at=time.monotonic(),
        memory=used.memory,
        disk=measure_folder(daemon),
        cpu=used.cpu,
        sent=metrics[SENT],
        received=metrics[RECEIVED],
    )


def read_metrics(daemon: deployment.Daemon) -> dict[str, float]:
    """Return the daemon's metrics that have no labels, by name."""
    text = calls.call("GET", daemon.platform, "/metrics").data.decode()
    lines = (line.rpartition(" ") for line in text.splitlines() if line[0] != "#")
    return {name: float(value) for name, _, value in lines if "{" not in name}


def measure_folder(daemon: deployment.Daemon) -> int:
    """Return the size of the daemon's data folder in bytes."""
    folder = daemon.settings.with_suffix(".data")
    return sum(file.stat().st_size for file in folder.rglob("*") if file.is_file())


def compute_rate(early: Reading, late: Reading) -> Reading:
    """Return the growth per second between two readings; sizes are the later ones."""
    span = late.at - early.at
    return Reading(
        at=late.at,
        memory=late.memory,
        disk=late.disk,
        cpu=(late.cpu - early.cpu) / span,
        sent=(late.sent - early.sent) / span,
        received=(late.received - early.received) / span,
    )


def average(found: list[Reading]) -> Reading:
    """Return the mean over several daemons of one role."""
    pairs = {
        field.name: sum(getattr(each, field.name) for each in found) / len(found)
        for field in dataclasses.fields(Reading)
    }
    return Reading(**pairs)
