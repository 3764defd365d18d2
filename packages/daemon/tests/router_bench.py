"""Real routers, engines and services under a fake control, for the router's tests."""

import contextlib
import dataclasses
import pathlib
import socket
import tempfile
import time
import typing
from collections import abc

from trestlestall.standins import calls, deployment, processes, prompts

KEY = "secret-basu"
MAX_RETRIES = 200
RESEND_SECONDS = 0.05
FAKE_CONTROL = "packages.daemon.tests.fake_control"
COMMANDS = (
    "declare class breakdown tier 0 target 30s idempotent floor 5%",
    "declare class summary tier 2 target 60s idempotent floor 5%",
    "declare class alerts tier 1 target 30s at most once floor 5%",
    f'declare workspace basu key "{KEY}"',
    'declare workspace other key "secret-other"',
    "declare service slots",
    "bind workspace basu model m1 to breakdown or summary",
    "bind workspace basu model m2 to alerts",
    "bind workspace basu service slots to alerts",
    "bind workspace other model m3 to summary",
)
ENGINE_OPTIONS = (("token_interval", "0.003"), ("interval_growth", "0"))


def plan_engine(name: str, **options: str) -> deployment.EnginePlan:
    """Return the plan of a fast engine that holds both models."""
    chosen = {**dict(ENGINE_OPTIONS), **options}
    return deployment.EnginePlan(name, "a", ("m1", "m2"), tuple(chosen.items()))


def plan(engines: int = 1, services: int = 0, routers: int = 1, **limits: int):
    """Return the plan of a deployment in one data centre."""
    return deployment.Plan(
        data_centres=("a",),
        controls=1,
        routers_per_data_centre=routers,
        engines=tuple(plan_engine(f"e{number}") for number in range(1, engines + 1)),
        services=tuple(
            deployment.ServicePlan(f"s{number}", "slots")
            for number in range(1, services + 1)
        ),
        limits=tuple(limits.items()),
    )


@dataclasses.dataclass
class Bench:
    """A running deployment, with helpers for tests."""

    deployment: deployment.Deployment
    control: processes.Process

    @property
    def routers(self) -> list[deployment.Daemon]:
        """The routers, which a test may have restarted."""
        return self.deployment.routers

    @property
    def callers(self):
        """The address of the first router's callers' listener."""
        return self.routers[0].callers

    def chat(self, text: str, model: str = "m1", **headers: str) -> calls.Answer:
        """Request a chat completion, not streamed, from the first router."""
        return calls.ask(self.callers, model, text, KEY, **headers)

    def stream(self, text: str, router: int = 0, **options: typing.Any) -> calls.Answer:
        """Request a streamed chat completion from a router."""
        body = calls.make_chat(options.pop("model", "m1"), text)
        return calls.stream(self.routers[router].callers, body, KEY, **options)

    def call_service(self, path: str, router: int = 0, **headers: str) -> calls.Answer:
        """Call the plain service through a router."""
        where = self.routers[router].callers
        return calls.call(
            "POST", where, f"/v1/services/slots{path}", {}, KEY, **headers
        )

    def start_service_call(self, path: str, key: str) -> socket.socket:
        """Send a call to the plain service; return the connection without waiting."""
        where = self.callers
        caller = socket.create_connection((where.host, where.port), timeout=20)
        head = (
            f"POST /v1/services/slots{path} HTTP/1.1\r\nContent-Length: 2\r\n"
            f"Authorization: Bearer {KEY}\r\nIdempotency-Key: {key}\r\n"
            f"Content-Type: application/json\r\n\r\n{{}}"
        )
        caller.sendall(head.encode())
        return caller

    def read_status(self, router: int = 0) -> dict:
        """Return a router's status; empty while it can't be reached."""
        key = self.deployment.secrets.operator
        where = self.routers[router].operators
        return calls.call("GET", where, "/v1/status", key=key).document or {}

    def read_rows(self, text: str, router: int = 0) -> list[dict]:
        """Return the rows of a router's answer to a query."""
        answer = self.deployment.query(text, self.routers[router])
        return answer.document["rows"]

    def read_events(self, router: int = 0) -> list[dict]:
        """Return the lines of a router's log."""
        return self.routers[router].process.read_events()

    def read_counts(self, standin: deployment.Standin) -> dict:
        """Return what a stand-in has counted."""
        return calls.call("GET", standin.address, "/v1/counts").document

    def set_fault(self, standin: deployment.Standin, **fault: object) -> None:
        """Give a stand-in a fault."""
        answer = calls.call("POST", standin.address, "/v1/faults", fault)
        assert answer.status == 200, answer.data

    def wait_for_upstreams(self, count: int) -> None:
        """Wait until every router knows that many live upstreams."""
        for number in range(len(self.routers)):
            processes.wait_until(
                lambda n=number: self.read_status(n).get("upstreams") == count,
                f"router {number} knows {count} upstreams",
            )


def expect_answer(text: str, tokens: int, model: str = "m1") -> str:
    """Return the complete answer that an engine gives to the user's text."""
    prompt = prompts.make_prompt(model, f"user: {text}")
    return prompts.write_answer(prompt, 0, tokens)


def restart_service(
    started: deployment.Deployment, planned: deployment.ServicePlan
) -> None:
    """Restart a service that has ended, as a new incarnation."""
    process = deployment.start_service(started, planned)
    started.services[:] = [deployment.finish_standin(planned, process)]


def retry_until_recorded(send: abc.Callable[[], calls.Answer]) -> calls.Answer:
    """Retry until the first answer is recorded, as the API asks of callers.

    An answer is sent while it is being recorded, so that a retry in the few
    milliseconds between gets 409. The number of retries is bounded only to end a test
    that would hang.
    """
    for _ in range(MAX_RETRIES):
        answer = send()
        if answer.status != 409:
            break
        time.sleep(RESEND_SECONDS)
    return answer


@contextlib.contextmanager
def start_bench(
    planned: deployment.Plan, commands: abc.Iterable[str] = COMMANDS
) -> abc.Iterator[Bench]:
    """Yield a deployment that is started, configured and knows all its upstreams."""
    with tempfile.TemporaryDirectory() as folder:
        started = deployment.Deployment(
            pathlib.Path(folder), planned, deployment.make_secrets()
        )
        try:
            bench = start_daemons(started)
            deployment.start_standins(started)
            started.operate(*commands)
            bench.wait_for_upstreams(len(planned.engines) + len(planned.services))
            yield bench
        finally:
            # Killed, since planned stops take time and have tests of their own.
            for process in started.started:
                if process.running:
                    process.kill()


def start_daemons(started: deployment.Deployment) -> Bench:
    """Start the fake control and the routers."""
    deployment.write_secrets(started)
    layout = deployment.lay_out(started.plan)
    for listing in layout:
        deployment.write_settings(started, listing, layout)
    for listing in layout:
        path = started.folder / f"{listing.name}.json"
        if listing.role == "control":
            control = started.start(listing.name, FAKE_CONTROL, [str(path)])
            continue
        arguments = (listing.role, "--settings", str(path))
        process = started.start(listing.name, deployment.DAEMON, arguments)
        started.routers.append(
            deployment.Daemon(**vars(listing), settings=path, process=process)
        )
    for router in started.routers:
        processes.wait_until(
            lambda r=router: deployment.is_ready(r), f"{router.name} is ready"
        )
    return Bench(started, control)
