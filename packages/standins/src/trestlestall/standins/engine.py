"""The stand-in engine's program: ``python -m trestlestall.standins.engine --name E …``.

It prints ``{"listening": "127.0.0.1:PORT"}`` as its first line, announces itself to the
hosts and serves until SIGTERM. Then it leaves, finishes running requests and exits 0.
"""

import dataclasses
import pathlib
import sys
import time

import eventlet
import fire
from fire import decorators

from trestlestall.standins import (
    addresses,
    announcing,
    batching,
    engine_core,
    engine_http,
    engine_orders,
    programs,
    web,
)

DRAIN_POLL_SECONDS = 0.02


@decorators.SetParseFn(str)
def serve(
    name: str,
    listen: str = "127.0.0.1:0",
    data_centre: str = "a",
    models: str = "m1",
    announce: str = "",
    secret_file: str = "",
    slots: str = "8",
    waiting_limit: str = "1000",
    token_interval: str = "0.01",
    interval_growth: str = "0.001",
    prefill_rate: str = "20000",
    cache_blocks: str = "512",
    event_delay: str = "1",
    event_gap_every: str = "10",
    report_lag: str = "0.5",
    priorities: str = "yes",
    checks_fencing: str = "yes",
    weights: str = "",
) -> None:
    """Serve as a model engine until SIGTERM.

    Times are in seconds, rates in tokens a second. ``announce`` is a comma-separated
    list of hosts as HOST:PORT; ``weights`` is the weight store's HOST:PORT.
    """
    programs.patch()
    pace = batching.Pace(
        float(token_interval), float(interval_growth), float(prefill_rate)
    )
    settings = engine_core.Settings(
        name=name,
        data_centre=data_centre,
        models=tuple(part for part in models.split(",") if part),
        slots=int(slots),
        waiting_limit=int(waiting_limit),
        pace=pace,
        cache_blocks=int(cache_blocks),
        event_delay=float(event_delay),
        event_gap_every=int(event_gap_every),
        report_lag=float(report_lag),
        honours_priorities=programs.read_switch(priorities),
        checks_fencing=programs.read_switch(checks_fencing),
        weights=weights,
    )
    secret = pathlib.Path(secret_file).read_text().strip() if secret_file else ""
    run_engine(
        settings, addresses.parse(listen), addresses.parse_list(announce), secret
    )


def run_engine(
    settings: engine_core.Settings,
    listen: addresses.Address,
    hosts: tuple[addresses.Address, ...],
    secret: str,
) -> None:
    """Serve with these settings until SIGTERM, then finish running requests."""
    core = engine_core.Engine(settings)
    panel = engine_http.Panel(core)
    server = web.Server(listen, web.make_application(engine_orders.ROUTES, panel))
    announcer = make_announcer(panel, server.address, hosts, secret)
    panel.on_models_changed = announcer.announce_again
    programs.print_line(listening=str(server.address))
    for greenlet in (core.run_passes, core.sample_load, server.run, announcer.run):
        eventlet.spawn(greenlet)
    programs.await_termination()
    announcer.leave()
    while core.busy or panel.open_answers:
        eventlet.sleep(DRAIN_POLL_SECONDS)


def make_announcer(
    panel: engine_http.Panel,
    address: addresses.Address,
    hosts: tuple[addresses.Address, ...],
    secret: str,
) -> announcing.Announcer:
    """Return the announcer of the panel's engine."""
    settings = panel.core.settings
    upstream = announcing.Upstream(
        name=settings.name,
        incarnation=int(time.time() * 1000),
        data_centre=settings.data_centre,
        address=str(address),
        kind="engine",
        slots=settings.slots,
        capabilities={
            "priorities": settings.honours_priorities,
            "cancel": True,
            "resume": True,
            "kv_transfer": True,
            "checks_fencing": settings.checks_fencing,
        },
    )

    def describe() -> dict:
        report = dataclasses.asdict(panel.core.report_load())
        return {**panel.list_models(), "report": report}

    def is_mute() -> bool:
        return panel.core.faults.kind == "mute"

    return announcing.Announcer(upstream, hosts, secret, describe, is_mute)


def run() -> int:
    """Run the program and return its exit status."""
    fire.Fire(serve)
    return 0


if __name__ == "__main__":
    sys.exit(run())
