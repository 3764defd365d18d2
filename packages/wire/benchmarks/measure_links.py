"""Measure the cost of links: CPU time, memory and bytes when idle, and an echo.

One process runs a control process's mesh and a child runs the routers' meshes, so that
the figures are those of one end. Run from the root, with the packages' src folders on
PYTHONPATH::

    python -m packages.wire.benchmarks.measure_links
"""

import resource
import subprocess
import sys
import time
import typing
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from trestlestall.wire import links, messages  # noqa: E402

SECRET = "measure"
LINKS = 100
IDLE_SECONDS = 20.0
ECHOES = 5000


def read_memory() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def make_mesh(
    name: str, role: str, peers: list[links.Peer], on_message: typing.Any
) -> links.Mesh:
    """Return a started mesh."""
    mesh = links.Mesh(
        *(name, role, "a", SECRET, "127.0.0.1:0", peers, on_message),
        on_change=lambda peer, linked: None,
    )
    mesh.start()
    return mesh


def run_routers(address: str) -> None:
    """Run, as the child, many routers that answer status calls, until killed."""
    control = links.Peer("control-1", "control", "a", address)
    meshes: dict[str, links.Mesh] = {}

    def make_answer(name: str) -> typing.Any:
        return lambda sender, message: meshes[name].send(
            sender, messages.StatusAnswer(message.token, {})
        )

    for number in range(LINKS):
        name = f"router-{number}"
        meshes[name] = make_mesh(name, "router", [control], make_answer(name))
    while True:
        eventlet.sleep(60.0)


def measure_echo(mesh: links.Mesh, arrived: list[float]) -> None:
    """Send one echo after another to one router, and print the round-trip times."""
    cpu_seconds = time.process_time()
    trips = []
    for token in range(ECHOES):
        arrived.clear()
        sent = time.perf_counter()
        mesh.send("router-0", messages.StatusCall(token))
        while not arrived:
            eventlet.sleep(0.0001)
        trips.append(arrived[0] - sent)
    cpu_seconds = time.process_time() - cpu_seconds
    trips.sort()
    print(f"echo: p50 {trips[len(trips) // 2] * 1e6:.0f} us", end=", ")
    print(f"p99 {trips[len(trips) * 99 // 100] * 1e6:.0f} us", end=", ")
    print(f"{cpu_seconds / ECHOES * 1e6:.0f} us of CPU time at one end and poll")


def measure_idle(mesh: links.Mesh) -> None:
    """Print the cost of the links when idle."""
    sent, received = mesh.bytes_sent, mesh.bytes_received
    cpu_seconds = time.process_time()
    eventlet.sleep(IDLE_SECONDS)
    cpu_seconds = (time.process_time() - cpu_seconds) / IDLE_SECONDS
    sent = (mesh.bytes_sent - sent) / IDLE_SECONDS / LINKS
    received = (mesh.bytes_received - received) / IDLE_SECONDS / LINKS
    print(f"idle: {cpu_seconds:.3%} of a core for {LINKS} links", end=", ")
    print(f"{sent:.2f} bytes sent and {received:.2f} received per link a second")


def main() -> None:
    """Run the measurements, as the control process."""
    arrived: list[float] = []
    mesh = make_mesh(
        *("control-1", "control", []),
        lambda sender, message: arrived.append(time.perf_counter()),
    )
    eventlet.sleep(1.0)
    before = read_memory()
    cpu_seconds = time.process_time()
    eventlet.sleep(IDLE_SECONDS)
    cpu_seconds = (time.process_time() - cpu_seconds) / IDLE_SECONDS
    print(f"no links: {cpu_seconds:.3%} of a core, {before / 2**20:.1f} MB")
    module = [sys.executable, "-m", "packages.wire.benchmarks.measure_links"]
    child = subprocess.Popen([*module, mesh.address])
    try:
        while len(mesh.linked()) < LINKS:
            eventlet.sleep(0.1)
        eventlet.sleep(1.0)
        print(f"memory: {(read_memory() - before) / LINKS / 1024:.1f} KB per link")
        measure_idle(mesh)
        measure_echo(mesh, arrived)
    finally:
        child.kill()
        mesh.stop()


if __name__ == "__main__":
    if len(sys.argv) > 1:
        run_routers(sys.argv[1])
    else:
        main()
