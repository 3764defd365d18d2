"""A small deployment with relays on every link, and the faults injected into it."""

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
from trestlestall.standins import addresses, processes

DIRECTORIES, GATEWAYS = 3, 2
#: Length of a usage reporting window; a run has several.
WINDOW_SECONDS = 1.0
#: Delay that a relay adds to each chunk of bytes.
DELAY_SECONDS = 0.15
#: Timeout of a graceful stop: the process's grace period and a margin.
STOP_SECONDS = 15.0
UNBOUNDED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)


class World:
    """The deployment, traffic and evidence of one run."""

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
        self.restarting = threading.Lock()
        self.traffic: list[threading.Thread] = []

    @property
    def targets(self) -> dict[str, list[str]]:
        """The names of possible fault targets, by role."""
        return list_targets()

    @contextlib.contextmanager
    def open(self) -> abc.Iterator[None]:
        """Run the deployment and its traffic while the block runs."""
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
            for number in range(traffic.UPSTREAMS):
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
                if kind != "once":
                    works.append(caller.run_leaving)
        for work in works:
            self.traffic.append(threading.Thread(target=work, daemon=True))
            self.traffic[-1].start()

    def end_traffic(self) -> None:
        """End the traffic, and wait until each request in flight is recorded."""
        self.ended.set()
        for thread in self.traffic:
            thread.join()

    def restart(self, name: str, ended: processes.Process) -> None:
        """Restart a process that has ended, unless another fault has done so."""
        with self.restarting:
            if self.system.running[name] is not ended:
                return
            if name in self.starts:
                self.starts[name] += 1
                self.system.start_gateway(name)
            else:
                self.system.start_directory(name)

    def inject(self, step: schedules.Step) -> None:
        """Inject one fault for its duration, and record its time span."""
        start = time.monotonic()
        fault = FAULTS[step.kind.name, step.kind.role]
        planned = step.kind.name in PLANNED
        with fault(self, step.target):
            time.sleep(step.seconds)
        self.evidence.add(
            evidences.Disturbance(step.target, planned, start, time.monotonic())
        )

    def play(self, steps: abc.Iterable[schedules.Step], seconds: float) -> None:
        """Inject the faults at their times, then let the deployment run without any."""
        started = time.monotonic()
        injections = []
        for step in steps:
            time.sleep(max(0.0, started + step.at - time.monotonic()))
            injections.append(threading.Thread(target=self.inject, args=(step,)))
            injections[-1].start()
        for injection in injections:
            injection.join()
        calm = time.monotonic()
        self.evidence.calm_at = calm + RECOVERY_SECONDS
        left = started + seconds - calm
        time.sleep(max(left, RECOVERY_SECONDS + schedules.CALM_SECONDS))


#: Seconds after the last fault in which the deployment may still recover: restarted
#: processes start up, directories rejoin, and paused links time out.
RECOVERY_SECONDS = 6.0

Fault = abc.Callable[[World, str], contextlib.AbstractContextManager[None]]
FAULTS: dict[tuple[str, str], Fault] = {}
PLANNED = ("stop", "reload", "drain")


def register_fault(name: str, *roles: str) -> abc.Callable[[Fault], Fault]:
    """Return a decorator that registers a fault by name for the roles."""

    def add(function: Fault) -> Fault:
        for role in roles:
            FAULTS[name, role] = contextlib.contextmanager(function)
        return function

    return add


@register_fault("kill", "directory", "gateway")
def kill(world: World, name: str) -> abc.Iterator[None]:
    """Kill a process and restart it later."""
    process = world.system.running[name]
    process.kill()
    yield
    world.restart(name, process)


@register_fault("pause", "directory", "gateway")
def pause(world: World, name: str) -> abc.Iterator[None]:
    """Pause a process."""
    process = world.system.running[name]
    process.send_signal(signal.SIGSTOP)
    yield
    process.send_signal(signal.SIGCONT)


@register_fault("suspend", "directory", "gateway")
def suspend(world: World, name: str) -> abc.Iterator[None]:
    """Suspend a process together with its CLOCK_MONOTONIC."""
    with world.system.hosts[name].suspended(world.system.running[name]):
        yield


@register_fault("stop", "gateway")
def stop(world: World, name: str) -> abc.Iterator[None]:
    """Stop a process gracefully and restart it once it has exited."""
    process = world.system.running[name]
    process.send_signal(signal.SIGTERM)
    yield
    process.child.wait(STOP_SECONDS)
    world.restart(name, process)


@register_fault("reload", "gateway")
def reload(world: World, name: str) -> abc.Iterator[None]:
    """Make a process reload its settings."""
    world.system.running[name].send_signal(signal.SIGHUP)
    yield


@register_fault("fatal", "gateway")
def send_fatal_requests(world: World, name: str) -> abc.Iterator[None]:
    """Send a request that crashes upstreams repeatedly."""
    ended = threading.Event()
    caller = traffic.Caller(
        name,
        world.system.ports[name],
        "again",
        world.evidence,
        lambda: world.starts[name],
        world.ended,
    )
    sending = threading.Thread(target=caller.send_fatal_requests, args=(ended,))
    sending.start()
    yield
    ended.set()
    sending.join()


@register_fault("lose_disk", "directory")
def lose_disk(world: World, name: str) -> abc.Iterator[None]:
    """Kill a directory, delete its data and restart it."""
    process = world.system.running[name]
    process.kill()
    shutil.rmtree(world.system.folder / f"{name}-data")
    yield
    world.restart(name, process)


@register_fault("fill_disk", "directory")
def fill_disk(world: World, name: str) -> abc.Iterator[None]:
    """Make every write to a file fail, including those to the log."""
    process = world.system.running[name].pid
    resource.prlimit(process, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
    yield
    with contextlib.suppress(ProcessLookupError):
        resource.prlimit(process, resource.RLIMIT_FSIZE, UNBOUNDED)


@register_fault("silence", "directory", "upstream")
def silence(world: World, name: str) -> abc.Iterator[None]:
    """Stall both directions of a relay."""
    world.relays[name].freeze()
    yield
    world.relays[name].thaw()


@register_fault("silence_in", "directory")
def silence_in(world: World, name: str) -> abc.Iterator[None]:
    """Stall the bytes to a process, but not those from it."""
    world.relays[name].forward_gate.clear()
    yield
    world.relays[name].thaw()


@register_fault("mute", "directory")
def mute(world: World, name: str) -> abc.Iterator[None]:
    """Discard the bytes of open connections for good; new ones work."""
    world.relays[name].mute()
    yield


@register_fault("reset", "directory", "upstream")
def reset(world: World, name: str) -> abc.Iterator[None]:
    """Reset all connections of a relay."""
    world.relays[name].reset()
    yield


@register_fault("delay", "directory", "upstream")
def delay(world: World, name: str) -> abc.Iterator[None]:
    """Delay each chunk of bytes."""
    world.relays[name].delay_seconds = DELAY_SECONDS
    yield
    world.relays[name].delay_seconds = 0.0


@register_fault("cut", "upstream")
def cut(world: World, name: str) -> abc.Iterator[None]:
    """Close all connections and refuse new ones."""
    world.relays[name].cut()
    yield
    world.relays[name].heal()


@register_fault("crash", "upstream")
def crash(world: World, name: str) -> abc.Iterator[None]:
    """Restart an upstream as a new incarnation at the same address."""
    world.relays[name].cut()
    yield
    world.upstreams[name].restart()
    world.relays[name].heal()


@register_fault("crash_late", "upstream")
def crash_late(world: World, name: str) -> abc.Iterator[None]:
    """Deliver an old incarnation's announcement after those of the new one."""
    world.upstreams[name].restart()
    yield
    world.upstreams[name].announce_late()


@register_fault("fail", "upstream")
def fail(world: World, name: str) -> abc.Iterator[None]:
    """Make an upstream answer requests with errors."""
    world.upstreams[name].is_failing = True
    yield
    world.upstreams[name].is_failing = False


@register_fault("drain", "upstream")
def drain(world: World, name: str) -> abc.Iterator[None]:
    """Make an upstream leave gracefully and return."""
    world.upstreams[name].leave()
    yield


@register_fault("state_limit", "upstream")
def state_limit(world: World, name: str) -> abc.Iterator[None]:
    """Make an upstream advertise a limit for longer than its propagation takes."""
    world.upstreams[name].wish = evidences.Signal.LIMIT
    yield
    time.sleep(evidences.LIMIT_KNOWN + evidences.LIMIT_SPAN)
    if world.upstreams[name].wish is evidences.Signal.LIMIT:
        world.upstreams[name].wish = evidences.Signal.NONE


@register_fault("ask_for_rest", "upstream")
def ask_for_rest(world: World, name: str) -> abc.Iterator[None]:
    """Make an upstream reject each request and ask for backoff."""
    world.upstreams[name].wish = evidences.Signal.BACKOFF
    yield
    time.sleep(evidences.BACKOFF)
    if world.upstreams[name].wish is evidences.Signal.BACKOFF:
        world.upstreams[name].wish = evidences.Signal.NONE


@register_fault("say_leave", "upstream")
def say_leave(world: World, name: str) -> abc.Iterator[None]:
    """Make an upstream send drain notices in answers only, then restart it."""
    upstream = world.upstreams[name]
    leaving = upstream.identity
    upstream.wish = evidences.Signal.LEAVE
    yield
    time.sleep(evidences.LEAVE_SECONDS + 1.0)
    if upstream.identity == leaving:
        upstream.restart()


def list_targets() -> dict[str, list[str]]:
    """Return the names of possible fault targets, by role."""
    counts = {
        "directory": DIRECTORIES,
        "gateway": GATEWAYS,
        "upstream": traffic.UPSTREAMS,
    }
    return {
        role: [f"{role}-{number}" for number in range(count)]
        for role, count in counts.items()
    }
