"""Start a program as a separate process, wait for it, and stop it by its process id."""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections import abc

from trestlestall.standins import addresses, exceptions

POLL_INTERVAL_SECONDS = 0.02
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0
RUN_TIMEOUT_SECONDS = 90.0
LOG_TAIL_CHARACTERS = 2000
NANOSECONDS = 1e9


@dataclasses.dataclass(frozen=True)
class Process:
    """A started program; ``log`` is the file that receives its output and errors."""

    name: str
    child: subprocess.Popen
    log: pathlib.Path

    @property
    def pid(self) -> int:
        """The process id."""
        return self.child.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited yet."""
        return self.child.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only, such as SIGSTOP to freeze it."""
        self.child.send_signal(number)

    def kill(self) -> None:
        """Kill the process immediately with SIGKILL, as a crash would."""
        self.child.kill()
        self.child.wait()

    def stop(self, limit: float = STOP_TIMEOUT_SECONDS) -> int:
        """Send SIGTERM and return the exit status.

        A process that has not exited after ``limit`` seconds is killed. Its status is
        then -9, so that a test that expects 0 notices. SIGCONT is sent first, since a
        stopped process would not react to SIGTERM.
        """
        self.child.send_signal(signal.SIGCONT)
        self.child.terminate()
        try:
            return self.child.wait(limit)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()

    def read_log(self) -> str:
        """Return what the process has printed so far."""
        return self.log.read_text(errors="replace")

    def read_events(self) -> list[dict]:
        """Return the JSON lines that the process has logged so far."""
        return [json.loads(line) for line in read_lines(self.log) if line[:1] == "{"]

    def describe(self) -> str:
        """Return whether the process runs, and the end of its output."""
        state = "runs" if self.running else f"exited {self.child.returncode}"
        state += describe_processor_time(self.pid)
        return f"{self.name} {state}:\n{self.read_log()[-LOG_TAIL_CHARACTERS:]}"


def describe_processor_time(pid: int) -> str:
    """Return for how long a process ran, and waited for a processor; empty if unknown.

    On a busy machine several processes may share one processor for seconds, though
    others are idle.
    """
    try:
        fields = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
    except OSError:
        return ""
    ran, waited = (int(field) / NANOSECONDS for field in fields[:2])
    return f", ran {ran:.2f} s, waited {waited:.2f} s for a processor"


def read_lines(log: pathlib.Path) -> list[str]:
    """Return the lines of a log that may still be written.

    The last line is left out until its end is written: a reader may see a part of what
    another process writes at once.
    """
    return log.read_text(errors="replace").rpartition("\n")[0].splitlines()


def start(
    name: str,
    module: str,
    arguments: abc.Sequence[str],
    folder: pathlib.Path,
    variables: abc.Mapping[str, str] | None = None,
) -> Process:
    """Start ``python -m module arguments`` with its output in ``folder/name.log``.

    The child searches for packages in the same places as this process. ``variables``
    are added to its environment.
    """
    log = folder / f"{name}.log"
    with log.open("ab") as output:
        child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            env={**make_environment(), **(variables or {})},
            cwd=folder,
        )
    return Process(name, child, log)


def run(
    module: str, arguments: abc.Sequence[str], folder: pathlib.Path
) -> subprocess.CompletedProcess:
    """Run ``python -m module arguments`` to completion and return its output.

    A program that exceeds ``RUN_TIMEOUT_SECONDS`` gets SIGTERM, so that it can stop
    the processes that it has started.
    """
    command = [sys.executable, "-m", module, *arguments]
    child = subprocess.Popen(
        command,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=make_environment(),
        cwd=folder,
    )
    try:
        output, errors = child.communicate(timeout=RUN_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        child.terminate()
        output, errors = child.communicate()
    return subprocess.CompletedProcess(command, child.returncode, output, errors)


def exit_on_termination() -> None:
    """Make SIGTERM raise ``SystemExit`` in this program, so that all clean-up runs."""
    signal.signal(signal.SIGTERM, lambda number, _: sys.exit(128 + number))


def make_environment() -> dict[str, str]:
    """Return a child's environment: this process's package paths, unbuffered output."""
    paths = os.pathsep.join(path for path in sys.path if path)
    return {**os.environ, "PYTHONPATH": paths, "PYTHONUNBUFFERED": "1"}


def wait_until(
    is_true: abc.Callable[[], bool],
    what: str,
    limit: float = START_TIMEOUT_SECONDS,
    explain: abc.Callable[[], str] = str,
) -> None:
    """Poll until the condition holds.

    Raises ``DeploymentError`` after ``limit`` seconds; ``what`` describes the condition
    in its message, and ``explain`` returns what else is known by then.
    """
    deadline = time.monotonic() + limit
    while not is_true():
        if time.monotonic() > deadline:
            raise exceptions.DeploymentError(
                f"timed out after {limit} s: {what}\n{explain()}".rstrip()
            )
        time.sleep(POLL_INTERVAL_SECONDS)


def wait_for_address(
    process: Process, limit: float = START_TIMEOUT_SECONDS
) -> addresses.Address:
    """Wait until a stand-in has printed its address, and return the address."""

    def read_address() -> str | None:
        for line in process.read_log().splitlines():
            with contextlib.suppress(ValueError, TypeError, KeyError):
                return json.loads(line)["listening"]
        return None

    def is_listening() -> bool:
        check_running(process)
        return read_address() is not None

    wait_until(is_listening, f"{process.name} is listening", limit)
    return addresses.parse(read_address())


def check_running(process: Process) -> None:
    """Raise ``DeploymentError`` with the end of the log if the process has exited."""
    if not process.running:
        raise exceptions.DeploymentError(
            f"{process.name} exited with status {process.child.returncode}:\n"
            f"{process.read_log()[-LOG_TAIL_CHARACTERS:]}"
        )
