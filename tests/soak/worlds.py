"""A small deployment with relays on every link, and the faults that strike it."""

import contextlib
import pathlib
import resource
import shutil
import signal
import threading
import time
from collections import abc

from tests import duty_platform, gateways, relays, suspension
from tests.soak import evidence as evidences, schedules, traffic
from trestlestall.standins import addresses

DIRECTORIES, GATEWAYS, UPSTREAMS = 3, 2, 3
#: Length of a window of usage: a run has several.
WINDOW_SECONDS = 1.0
#: Seconds that one piece of bytes takes longer on a delayed relay.
DELAY_SECONDS = 0.15
#: Seconds that a process has for a planned stop: its grace and some more.
STOP_SECONDS = 15.0
UNBOUNDED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)


class World:
    """Everything that one run consists of."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.evidence = evidences.Evidence()
        self.system = gateways.Deployment(folder, DIRECTORIES, GATEWAYS)
        self.platform = duty_platform.Platform(
            evidences.LEASE_SECONDS, self.evidence.add
        )
        self.system.settings["duties"] = {
            "platform": self.platform.address,
            "lease_seconds": evidences.LEASE_SECONDS,
            "window_seconds": WINDOW_SECONDS,
            "late_seconds": 3 * WINDOW_SECONDS,
        }
        self.relays: dict[str, relays.Relay] = {}
        self.upstreams: dict[str, traffic.Upstream] = {}
        self.starts = dict.fromkeys(self.system.gateways, 0)
        self.ended = threading.Event()

    @property
    def targets(self) -> dict[str, list[str]]:
        """The names that faults may strike, by role."""
        return list_targets()

    @contextlib.contextmanager
    def open(self) -> abc.Iterator[None]:
        """Run the deployment and its traffic during the block."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.platform.stop)
            stack.callback(self.system.stop_all)
            stack.callback(self.ended.set)
            self._start_relays(stack)
            for name in (*self.system.names, *self.system.gateways):
                folder = self.system.folder / f"{name}-host"
                self.system.hosts[name] = suspension.Host(folder)
            self.system.start_all()
            ports = [self.system.ports[name] for name in self.system.names]
            for number in range(UPSTREAMS):
                name = f"upstream-{number}"
                upstream = traffic.Upstream(name, self.evidence, ports)
                stack.callback(upstream.stop)
                self.upstreams[name] = upstream
                self.relays[name] = upstream.relay
            operator = traffic.Operator(ports, self.evidence, self.ended)
            operator.declare_next()
            for name in self.system.gateways:
                self._wait_until_served(name)
            self._start_traffic(operator)
            yield

    def _start_relays(self, stack: contextlib.ExitStack) -> None:
        reached_at = {}
        for name, port in self.system.links.items():
            relay = relays.Relay(addresses.Address(gateways.HOST, port))
            stack.callback(relay.close)
            self.relays[name] = relay
            reached_at[name] = str(relay.address)
        self.system.put_relays(reached_at)

    def _wait_until_served(self, gateway: str) -> None:
        prober = traffic.Caller(
            gateway,
            self.system.ports[gateway],
            "again",
            evidences.Evidence(),
            lambda: 0,
            self.ended,
        )
        gateways.wait_until(lambda: prober.probe(self.evidence), gateway)

    def _start_traffic(self, operator: traffic.Operator) -> None:
        works = [operator.run, operator.run_reads]
        for gateway in self.system.gateways:
            for kind in traffic.KINDS:
                caller = traffic.Caller(
                    gateway,
                    self.system.ports[gateway],
                    kind,
                    self.evidence,
                    lambda name=gateway: self.starts[name],
                    self.ended,
                )
                works.append(caller.run)
        for work in works:
            threading.Thread(target=work, daemon=True).start()

    def restart(self, name: str) -> None:
        """Start a process that has ended."""
        if name in self.starts:
            self.starts[name] += 1
            self.system.start_gateway(name)
        else:
            self.system.start_directory(name)

    def strike(self, step: schedules.Step) -> None:
        """Inject one fault for its time, and note when it was there."""
        start = time.monotonic()
        fault = FAULTS[step.kind.name, step.kind.role]
        planned = step.kind.name in PLANNED
        with fault(self, step.target):
            time.sleep(step.seconds)
        self.evidence.add(
            evidences.Disturbed(step.target, planned, start, time.monotonic())
        )

    def play(self, steps: abc.Iterable[schedules.Step], seconds: float) -> None:
        """Strike at the times of the steps, then leave the deployment in calm."""
        started = time.monotonic()
        strikes = []
        for step in steps:
            time.sleep(max(0.0, started + step.at - time.monotonic()))
            strikes.append(threading.Thread(target=self.strike, args=(step,)))
            strikes[-1].start()
        for strike in strikes:
            strike.join()
        calm = time.monotonic()
        self.evidence.calm_at = calm + RECOVERY_SECONDS
        left = started + seconds - calm
        time.sleep(max(left, RECOVERY_SECONDS + schedules.CALM_SECONDS))


#: Seconds after the last fault in which the deployment may still recover: a process
#: that was started again is up, a directory has joined, a paused link was given up.
RECOVERY_SECONDS = 6.0

Fault = abc.Callable[[World, str], contextlib.AbstractContextManager[None]]
FAULTS: dict[tuple[str, str], Fault] = {}
PLANNED = ("stop", "reload", "drain")


def injects(name: str, *roles: str) -> abc.Callable[[Fault], Fault]:
    """Return a decorator that enters the fault of a name for the roles."""

    def enter(function: Fault) -> Fault:
        for role in roles:
            FAULTS[name, role] = contextlib.contextmanager(function)
        return function

    return enter


@injects("kill", "directory", "gateway")
def kill(world: World, name: str) -> abc.Iterator[None]:
    """End a process at once and start it again later."""
    world.system.running[name].kill()
    yield
    world.restart(name)


@injects("pause", "directory", "gateway")
def pause(world: World, name: str) -> abc.Iterator[None]:
    """Let a process stand still."""
    process = world.system.running[name]
    process.send_signal(signal.SIGSTOP)
    yield
    process.send_signal(signal.SIGCONT)


@injects("suspend", "directory", "gateway")
def suspend(world: World, name: str) -> abc.Iterator[None]:
    """Let a process stand still together with its steady clock."""
    with world.system.hosts[name].suspended(world.system.running[name]):
        yield


@injects("stop", "gateway")
def stop(world: World, name: str) -> abc.Iterator[None]:
    """Stop a process as planned and start it again once it has ended."""
    process = world.system.running[name]
    process.send_signal(signal.SIGTERM)
    yield
    process.child.wait(STOP_SECONDS)
    world.restart(name)


@injects("reload", "gateway")
def reload(world: World, name: str) -> abc.Iterator[None]:
    """Let a process read its settings again."""
    world.system.running[name].send_signal(signal.SIGHUP)
    yield


@injects("fatal", "gateway")
def bring_fatal(world: World, name: str) -> abc.Iterator[None]:
    """Let a request that ends upstreams come again and again."""
    ended = threading.Event()
    caller = traffic.Caller(
        name,
        world.system.ports[name],
        "again",
        world.evidence,
        lambda: world.starts[name],
        world.ended,
    )
    bringing = threading.Thread(target=caller.bring_fatal, args=(ended,))
    bringing.start()
    yield
    ended.set()
    bringing.join()


@injects("lose_disk", "directory")
def lose_disk(world: World, name: str) -> abc.Iterator[None]:
    """Start a directory again without its data."""
    world.system.running[name].kill()
    shutil.rmtree(world.system.folder / f"{name}-data")
    yield
    world.restart(name)


@injects("fill_disk", "directory")
def fill_disk(world: World, name: str) -> abc.Iterator[None]:
    """Let every write to a file fail, those to the log among them."""
    process = world.system.running[name].pid
    resource.prlimit(process, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
    yield
    with contextlib.suppress(ProcessLookupError):
        resource.prlimit(process, resource.RLIMIT_FSIZE, UNBOUNDED)


@injects("silence", "directory", "upstream")
def silence(world: World, name: str) -> abc.Iterator[None]:
    """Hold all bytes of a relay, both ways."""
    world.relays[name].freeze()
    yield
    world.relays[name].thaw()


@injects("silence_in", "directory")
def silence_in(world: World, name: str) -> abc.Iterator[None]:
    """Hold the bytes to a process, and let those from it pass."""
    world.relays[name].forth.clear()
    yield
    world.relays[name].thaw()


@injects("mute", "directory")
def mute(world: World, name: str) -> abc.Iterator[None]:
    """Let open connections go silent for good; new ones work."""
    world.relays[name].mute()
    yield


@injects("reset", "directory", "upstream")
def reset(world: World, name: str) -> abc.Iterator[None]:
    """Reset all connections of a relay."""
    world.relays[name].reset()
    yield


@injects("delay", "directory", "upstream")
def delay(world: World, name: str) -> abc.Iterator[None]:
    """Hold up each piece of bytes a little."""
    world.relays[name].delay_seconds = DELAY_SECONDS
    yield
    world.relays[name].delay_seconds = 0.0


@injects("cut", "upstream")
def cut(world: World, name: str) -> abc.Iterator[None]:
    """End all connections and refuse new ones."""
    world.relays[name].cut()
    yield
    world.relays[name].heal()


@injects("crash", "upstream")
def crash(world: World, name: str) -> abc.Iterator[None]:
    """Let an upstream come back as another incarnation at its address."""
    world.relays[name].cut()
    yield
    world.upstreams[name].restart()
    world.relays[name].heal()


@injects("crash_late", "upstream")
def crash_late(world: World, name: str) -> abc.Iterator[None]:
    """Let an announcement from before a crash arrive after the one that follows it."""
    world.upstreams[name].restart()
    yield
    world.upstreams[name].announce_late()


@injects("fail", "upstream")
def fail(world: World, name: str) -> abc.Iterator[None]:
    """Let an upstream fail what it runs."""
    world.upstreams[name].is_failing = True
    yield
    world.upstreams[name].is_failing = False


@injects("drain", "upstream")
def drain(world: World, name: str) -> abc.Iterator[None]:
    """Let an upstream leave as planned and come back."""
    world.upstreams[name].leave()
    yield


@injects("state_limit", "upstream")
def state_limit(world: World, name: str) -> abc.Iterator[None]:
    """Let an upstream state a limit, for longer than it takes to be known."""
    world.upstreams[name].wish = evidences.Wish.LIMIT
    yield
    time.sleep(evidences.LIMIT_KNOWN + evidences.LIMIT_SPAN)
    if world.upstreams[name].wish is evidences.Wish.LIMIT:
        world.upstreams[name].wish = evidences.Wish.NONE


@injects("ask_for_rest", "upstream")
def ask_for_rest(world: World, name: str) -> abc.Iterator[None]:
    """Let an upstream turn each request away and ask for rest."""
    world.upstreams[name].wish = evidences.Wish.REST
    yield
    time.sleep(evidences.REST)
    if world.upstreams[name].wish is evidences.Wish.REST:
        world.upstreams[name].wish = evidences.Wish.NONE


@injects("say_leave", "upstream")
def say_leave(world: World, name: str) -> abc.Iterator[None]:
    """Let an upstream say in answers alone that it leaves, then start again."""
    upstream = world.upstreams[name]
    leaving = upstream.identity
    upstream.wish = evidences.Wish.LEAVE
    yield
    time.sleep(evidences.LEAVE_SECONDS + 1.0)
    if upstream.identity == leaving:
        upstream.restart()


def list_targets() -> dict[str, list[str]]:
    """Return the names that faults may strike, by role."""
    counts = {"directory": DIRECTORIES, "gateway": GATEWAYS, "upstream": UPSTREAMS}
    return {
        role: [f"{role}-{number}" for number in range(count)]
        for role, count in counts.items()
    }
