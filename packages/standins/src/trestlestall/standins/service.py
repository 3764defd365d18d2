"""The stand-in plain service: ``python -m trestlestall.standins.service --name S …``.

A call of any path except ``/v1/counts`` and ``/v1/faults`` is work. It is counted by
its path and by its ``Idempotency-Key``, and answered with these counts, so that a test
can see whether an at-most-once call was repeated.

Faults: ``stall`` (the work is done and counted, but never answered), ``crash`` (the
work is done, then the process exits), ``drop`` (the work is done, then the connection
is closed), ``refuse`` (503, no work), ``mute`` (no announcements or renewals).
"""

import collections
import os
import pathlib
import sys
import time

import eventlet
import fire
from fire import decorators

from trestlestall.standins import addresses, announcing, programs, web

ROUTES = web.Routes()
CRASH_STATUS = 70
DRAIN_POLL_SECONDS = 0.02
FAULTS = ("none", "stall", "crash", "drop", "refuse", "mute")
NO_KEY = "-"


class Service:
    """The service's counts and its fault."""

    def __init__(self, name: str):
        self.name = name
        self.fault = "none"
        self.calls = 0
        self.active = 0
        self.keys: collections.Counter = collections.Counter()
        self.paths: collections.Counter = collections.Counter()

    def report_load(self) -> dict:
        """Return the report of an announcement or renewal."""
        return {
            "at": time.time(),
            "running": self.active,
            "waiting": 0,
            "tokens_per_second": 0.0,
            "kv_used": 0.0,
        }


@ROUTES.add("GET", "/v1/counts")
def read_counts(service: Service, call: web.Call) -> web.Reply:
    """Return how often work was done, by key and by path."""
    document = {"calls": service.calls, "keys": service.keys, "paths": service.paths}
    return web.reply_json(200, document)


@ROUTES.add("POST", "/v1/faults")
def set_fault(service: Service, call: web.Call) -> web.Reply:
    """Replace the service's fault."""
    kind = (call.read_json() or {}).get("kind")
    if kind not in FAULTS:
        return web.reply_error(400, "unknown_fault", f"known: {sorted(FAULTS)}")
    service.fault = kind
    return web.reply_json(200, {"kind": kind})


@ROUTES.add_rest
def do_work(service: Service, call: web.Call) -> web.Reply:
    """Do the work of a call once, and answer with its counts."""
    if service.fault == "refuse":
        return web.reply_error(503, "service_refused", "told to refuse")
    key = call.headers.get("idempotency-key", NO_KEY)
    service.calls += 1
    service.keys[key] += 1
    service.paths[f"{call.method} {call.path}"] += 1
    service.active += 1
    try:
        fail_after_work(service, call)
    finally:
        service.active -= 1
    return web.reply_json(200, describe_work(service, call, key))


def fail_after_work(service: Service, call: web.Call) -> None:
    """Apply the current fault after the work is done."""
    while service.fault == "stall":
        eventlet.sleep(DRAIN_POLL_SECONDS)
    if service.fault == "crash":
        os._exit(CRASH_STATUS)
    if service.fault == "drop":
        web.cut_connection(call)


def describe_work(service: Service, call: web.Call, key: str) -> dict:
    """Return the response body of a call."""
    return {
        "service": service.name,
        "method": call.method,
        "path": call.path,
        "key": key,
        "times": service.keys[key],
        "body": call.body.decode(errors="replace"),
    }


@decorators.SetParseFn(str)
def serve(
    name: str,
    listen: str = "127.0.0.1:0",
    data_centre: str = "a",
    service: str = "",
    announce: str = "",
    secret_file: str = "",
    slots: str = "16",
) -> None:
    """Serve as a plain service until SIGTERM.

    ``name`` is the upstream's name, ``service`` the one that callers use (by default
    the same).
    """
    programs.patch()
    state = Service(service or name)
    server = web.Server(addresses.parse(listen), web.make_application(ROUTES, state))
    upstream = announcing.Upstream(
        name=name,
        incarnation=int(time.time() * 1000),
        data_centre=data_centre,
        address=str(server.address),
        kind="service",
        slots=int(slots),
        capabilities=dict.fromkeys(announcing.CAPABILITIES, False),
    )
    secret = pathlib.Path(secret_file).read_text().strip() if secret_file else ""
    announcer = announcing.Announcer(
        upstream,
        addresses.parse_list(announce),
        secret,
        lambda: {"models": [state.name], "adapters": [], "report": state.report_load()},
        lambda: state.fault == "mute",
    )
    programs.print_line(listening=str(server.address))
    eventlet.spawn(server.run)
    eventlet.spawn(announcer.run)
    programs.await_termination()
    announcer.leave()
    while state.active:
        eventlet.sleep(DRAIN_POLL_SECONDS)


def run() -> int:
    """Run the program and return its exit status."""
    fire.Fire(serve)
    return 0


if __name__ == "__main__":
    sys.exit(run())
