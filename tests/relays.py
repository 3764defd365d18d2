"""TCP relays between real processes, with which a test injects network faults.

``start_network`` starts a plan's processes with a relay on each peer link: a process
that connects to a peer connects to the relay in between. This process announces the
upstreams, each under the address of its own relay.
"""

import collections
import contextlib
import dataclasses
import json
import pathlib
import socket
import struct
import tempfile
import threading
import time
import typing
from collections import abc

from trestlestall.standins import addresses, announcing, calls, deployment, processes

CHUNK = 65536
#: Value of SO_LINGER with which closing a socket resets the connection.
RESET = struct.pack("ii", 1, 0)
ANY_PORT = addresses.Address(addresses.LOOPBACK, 0)
NO_CAPABILITIES = dict.fromkeys(announcing.CAPABILITIES, False)
ENGINE_CAPABILITIES = {**NO_CAPABILITIES, "cancel": True, "resume": True}
Plan: typing.TypeAlias = deployment.EnginePlan | deployment.ServicePlan
LOADS = ("at", "running", "waiting", "tokens_per_second", "kv_used")
NO_LOAD = dict.fromkeys(LOADS, 0)


class Relay:
    """Forwards the bytes of each connection to ``target`` and back.

    ``forward_gate`` and ``return_gate`` are set while bytes may pass to and from the
    target. While one is cleared, its bytes are buffered, as by a network that drops
    packets, and delivered once it is set again. ``cut`` closes the connections and
    refuses new ones; ``mute`` discards the bytes of open ones. ``delay_seconds`` delays
    each chunk. ``accepted`` counts connections on which the first bytes have arrived.
    """

    def __init__(self, target: addresses.Address):
        self.target = target
        self.forward_gate, self.return_gate = threading.Event(), threading.Event()
        self.is_cut = False
        self.delay_seconds = 0.0
        self.accepted = 0
        self._sockets: set[socket.socket] = set()
        self._muted: set[socket.socket] = set()
        self._listener = socket.create_server((addresses.LOOPBACK, 0))
        self.address = addresses.Address(*self._listener.getsockname())
        self.thaw()
        self._spawn(self._accept)

    def freeze(self) -> None:
        """Stall both directions."""
        self.forward_gate.clear()
        self.return_gate.clear()

    def thaw(self) -> None:
        """Resume both directions; stalled bytes are delivered first."""
        self.forward_gate.set()
        self.return_gate.set()

    def cut(self) -> None:
        """Close every connection, and each new one at once."""
        self.is_cut = True
        for each in list(self._sockets):
            hang_up(each)
        self.thaw()

    def mute(self) -> None:
        """Discard all further bytes of the open connections; new ones work."""
        self._muted |= self._sockets

    def reset(self) -> None:
        """Reset every connection; new ones are accepted."""
        for each in list(self._sockets):
            with contextlib.suppress(OSError):
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            hang_up(each)

    def heal(self) -> None:
        """Accept new connections and resume both directions."""
        self.is_cut = False
        self.thaw()

    def close(self) -> None:
        """Stop the relay; its threads end with their sockets."""
        self.cut()
        hang_up(self._listener)
        self._listener.close()

    def _spawn(self, work: abc.Callable, *arguments: typing.Any) -> None:
        threading.Thread(target=work, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                self._spawn(self._carry, near)

    def _carry(self, near: socket.socket) -> None:
        """Relay one connection until it ends."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(contextlib.suppress(OSError))
            stack.enter_context(self._own(near))
            if self.is_cut:
                return
            near.recv(1, socket.MSG_PEEK)
            self.accepted += 1
            self.forward_gate.wait()
            host = (self.target.host, self.target.port)
            far = stack.enter_context(self._own(socket.create_connection(host)))
            self._spawn(self._pump, far, near, self.return_gate)
            self._pump(near, far, self.forward_gate)

    @contextlib.contextmanager
    def _own(self, one: socket.socket) -> abc.Iterator[socket.socket]:
        self._sockets.add(one)
        try:
            yield one
        finally:
            self._sockets.discard(one)
            self._muted.discard(one)
            hang_up(one)
            one.close()

    def _pump(
        self, source: socket.socket, sink: socket.socket, gate: threading.Event
    ) -> None:
        """Forward bytes one way; when one side closes, close the other."""
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK):
                gate.wait()
                time.sleep(self.delay_seconds)
                if source not in self._muted:
                    sink.sendall(data)
        gate.wait()
        hang_up(sink)
        hang_up(source)


def hang_up(one: socket.socket) -> None:
    """Shut a connection down both ways, which wakes threads that read from it."""
    with contextlib.suppress(OSError):
        one.shutdown(socket.SHUT_RDWR)


@dataclasses.dataclass
class Upstream:
    """A stand-in behind a relay, announced by this process."""

    plan: Plan
    standin: deployment.Standin
    relay: Relay
    announcer: announcing.Announcer

    def count(self) -> dict:
        """Return the stand-in's counters."""
        return calls.call("GET", self.standin.address, "/v1/counts").document

    def set_fault(self, **fault: object) -> None:
        """Inject a fault into the stand-in."""
        answer = calls.call("POST", self.standin.address, "/v1/faults", fault)
        assert answer.status == 200, answer.data


class Network:
    """A deployment whose peer links and upstreams are reached through relays."""

    def __init__(self, started: deployment.Deployment):
        self.deployment = started
        self.controls, self.routers = started.controls, started.routers
        self.links: dict[tuple[str, str], Relay] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.data_centres: dict[str, str] = {}
        self.version = 0
        self.incarnations: dict[str, int] = collections.defaultdict(int)

    # Links.

    def find_links(self, chosen: abc.Callable[[str, str], bool]) -> list[Relay]:
        """Return the relays of the pairs (dialler, dialled) that ``chosen`` accepts."""
        return [link for pair, link in self.links.items() if chosen(*pair)]

    def find_boundary_links(self, data_centre: str) -> list[Relay]:
        """Return the relays between a data centre and all the others."""
        where = self.data_centres
        return self.find_links(
            lambda a, b: (where[a] == data_centre) != (where[b] == data_centre)
        )

    def cut_data_centre(self, data_centre: str) -> None:
        """Cut every link between a data centre and the others."""
        for link in self.find_boundary_links(data_centre):
            link.cut()

    def freeze_data_centre(self, data_centre: str) -> None:
        """Stall every link between a data centre and the others."""
        for link in self.find_boundary_links(data_centre):
            link.freeze()

    def heal(self) -> None:
        """Heal every relay."""
        for link in self.links.values():
            link.heal()
        for upstream in self.upstreams.values():
            upstream.relay.heal()

    # Processes.

    def find(self, name: str) -> deployment.Daemon:
        """Return the current daemon of this name."""
        daemons = self.controls + self.routers
        return next(each for each in daemons if each.name == name)

    def read_status(self, name: str) -> dict:
        """Return a daemon's status, or an empty one while it is unreachable."""
        where = self.find(name).operators
        key = self.deployment.secrets.operator
        answer = calls.call("GET", where, "/v1/status", key=key)
        return (answer.document or {}) if answer.status == 200 else {}

    def read_events(self, name: str) -> list[dict]:
        """Return the parsed JSON lines of a daemon's log."""
        return self.find(name).process.read_events()

    def find_leader(self, *names: str) -> str:
        """Wait until one of the control processes reports a leader; return its name."""
        asked = names or [each.name for each in self.controls]
        found: list[str | None] = []

        def ask() -> bool:
            found[:] = filter(None, map(self.read_leader, asked))
            return bool(found)

        processes.wait_until(ask, "a leader is known")
        return str(found[0])

    def read_leader(self, name: str) -> str | None:
        """Return the leader that a control process reports, or None."""
        return self.read_status(name).get("leader")

    def wait_until_in_force(self) -> None:
        """Wait until every router has the newest version and its upstreams."""
        for router in self.routers:
            own = router.data_centre
            count = sum(self.data_centres[name] == own for name in self.upstreams)
            processes.wait_until(
                lambda n=router.name, c=count: (
                    self.read_version_and_upstreams(n) == (self.version, c)
                ),
                f"{router.name} has version {self.version} and {count} upstreams",
            )

    def read_version_and_upstreams(self, router: str) -> tuple:
        """Return a router's configuration version and its number of upstreams."""
        status = self.read_status(router)
        return status.get("version"), status.get("upstreams")

    def operate(self, *texts: str) -> None:
        """Send each command and wait until it is accepted."""
        self.deployment.operate(*texts)
        self.version += len(texts)

    # Upstreams.

    def add(self, plan: Plan) -> Upstream:
        """Start a stand-in, announce it under its relay's address, and return it."""
        standin = start_standin(self.deployment, plan)
        self.data_centres[plan.name] = plan.data_centre
        relay = Relay(standin.address)
        announcer = self.announce(plan, relay, self.routers)
        self.upstreams[plan.name] = Upstream(plan, standin, relay, announcer)
        return self.upstreams[plan.name]

    def restart(self, upstream: Upstream) -> Upstream:
        """Restart a stopped stand-in at the same address, as a new incarnation.

        The announcer of the former incarnation keeps running.
        """
        plan, relay = upstream.plan, upstream.relay
        standin = start_standin(self.deployment, plan, upstream.standin.address)
        where = standin.address
        processes.wait_until(
            lambda: calls.call("GET", where, "/v1/counts").status == 200,
            f"{plan.name} listens again",
        )
        announcer = self.announce(plan, relay, self.routers)
        self.upstreams[plan.name] = Upstream(plan, standin, relay, announcer)
        return self.upstreams[plan.name]

    def announce_again(
        self, name: str, routers: abc.Iterable[deployment.Daemon] = ()
    ) -> None:
        """Make an upstream leave, then announce it as a new incarnation."""
        former = self.upstreams[name]
        former.announcer.leave()
        found = self.announce(former.plan, former.relay, routers or self.routers)
        self.upstreams[name] = dataclasses.replace(former, announcer=found)

    def announce(
        self,
        plan: Plan,
        relay: Relay,
        routers: abc.Iterable[deployment.Daemon],
    ) -> announcing.Announcer:
        """Announce a stand-in as a new incarnation to one of the routers."""
        is_engine = isinstance(plan, deployment.EnginePlan)
        self.incarnations[plan.name] += 1
        identity = announcing.Upstream(
            name=plan.name,
            incarnation=self.incarnations[plan.name],
            data_centre=plan.data_centre,
            address=str(relay.address),
            kind="engine" if is_engine else "service",
            slots=int(dict(plan.options).get("slots", "8")) if is_engine else 16,
            capabilities=ENGINE_CAPABILITIES if is_engine else NO_CAPABILITIES,
        )
        models = list(plan.models) if is_engine else [plan.service]
        hosts = tuple(
            each.upstreams for each in routers if each.data_centre == plan.data_centre
        )
        announcer = announcing.Announcer(
            identity,
            hosts,
            self.deployment.secrets.upstreams,
            lambda: {"models": models, "adapters": [], "report": NO_LOAD},
            note=lambda **fields: None,
        )
        threading.Thread(target=announcer.run, daemon=True).start()
        return announcer

    def close(self) -> None:
        """Stop the announcers and the relays."""
        for upstream in self.upstreams.values():
            upstream.announcer.leave()
            upstream.relay.close()
        for link in self.links.values():
            link.close()


def start_standin(
    started: deployment.Deployment,
    plan: Plan,
    listen: addresses.Address = ANY_PORT,
) -> deployment.Standin:
    """Start a stand-in that does not announce itself."""
    options = {"name": plan.name, "data_centre": plan.data_centre}
    options["listen"] = str(listen)
    if isinstance(plan, deployment.EnginePlan):
        module = deployment.ENGINE
        options |= {"models": ",".join(plan.models), **dict(plan.options)}
    else:
        module = deployment.SERVICE
        options["service"] = plan.service
    arguments = [f"--{name}={value}" for name, value in options.items()]
    child = started.start(plan.name, module, arguments)
    return deployment.finish_standin(plan, child)


@contextlib.contextmanager
def start_network(
    plan: deployment.Plan, commands: abc.Iterable[str] = ()
) -> abc.Iterator[Network]:
    """Start a plan's daemons with a relay on each link, then its stand-ins."""
    with tempfile.TemporaryDirectory(prefix="trestlestall-") as folder:
        started = deployment.Deployment(
            pathlib.Path(folder), plan, deployment.make_secrets()
        )
        network = Network(started)
        try:
            start_daemons(network)
            for each in plan.engines + plan.services:
                network.add(each)
            deployment.wait_until_ready(started)
            network.operate(*commands)
            network.wait_until_in_force()
            yield network
        finally:
            # Killed, not stopped: a graceful stop is slow, and other tests cover it.
            for process in started.started:
                if process.running:
                    process.kill()
            network.close()


def start_daemons(network: Network) -> None:
    """Write settings in which peers have relay addresses, and start the daemons."""
    started = network.deployment
    deployment.write_secrets(started)
    layout = deployment.lay_out(started.plan)
    for listing in layout:
        network.data_centres[listing.name] = listing.data_centre
        deployment.write_settings(started, listing, layout)
        put_relays(network, listing, layout)
    for listing in layout:
        settings = started.folder / f"{listing.name}.json"
        arguments = (listing.role, "--settings", str(settings))
        process = started.start(listing.name, deployment.DAEMON, arguments)
        daemon = deployment.Daemon(**vars(listing), settings=settings, process=process)
        group = started.routers if listing.role == "router" else started.controls
        group.append(daemon)


def put_relays(
    network: Network, listing: deployment.Listing, layout: list[deployment.Listing]
) -> None:
    """Start a relay for each peer in a daemon's settings, and use its address there."""
    path = network.deployment.folder / f"{listing.name}.json"
    document = json.loads(path.read_text())
    targets = {each.name: each.listen["peers"] for each in layout}
    for peer in document["peers"]:
        relay = Relay(targets[peer["name"]])
        network.links[listing.name, peer["name"]] = relay
        peer["address"] = str(relay.address)
    path.write_text(json.dumps(document))
