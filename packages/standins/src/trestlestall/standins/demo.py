"""The demonstration: ``python -m trestlestall.standins.demo`` or ``make demo``.

It starts one control voter, two routers in two data centres, three engines and a plain
service as separate processes, declares a configuration as an operator would, sends
requests and streams the answers to the screen. All files are in a temporary folder, and
processes are stopped by their id; the exit status is 0 if every step succeeded.
"""

import secrets
import sys
import tempfile
import time

from trestlestall.standins import calls, deployment, exceptions, processes

RECORD_SECONDS = 1.0
MODEL = "m1"
PLAN = deployment.Plan(
    data_centres=("a", "b"),
    engines=(
        deployment.EnginePlan("engine-1", "a"),
        deployment.EnginePlan("engine-2", "a"),
        deployment.EnginePlan("engine-3", "b"),
    ),
    services=(deployment.ServicePlan("confirmer-1", "slots", "a"),),
)
DECLARATIONS = (
    "declare class breakdown tier 0 target 20s first token 2s idempotent floor 5%",
    "declare class confirmations tier 0 target 20s at most once floor 5%",
    "declare service slots",
    'declare workspace basu key "{key}"',
    f"bind workspace basu model {MODEL} to breakdown",
    "bind workspace basu service slots to confirmations",
)
QUESTIONS = (
    "The engine of tractor 17 overheats on the second gear. [length 24]",
    "Which log lines speak of the oil pressure? [length 24]",
)


class Screen:
    """Writes the progress of the demonstration to standard output."""

    def write_title(self, text: str) -> None:
        """Begin a step."""
        print(f"\n== {text}", flush=True)

    def write_line(self, text: str) -> None:
        """Write one line of a step."""
        print(f"   {text}", flush=True)

    def write_part(self, text: str) -> None:
        """Write a part of a streamed answer at once."""
        print(text, end="", flush=True)


def show_processes(screen: Screen, running: deployment.Deployment) -> None:
    """Print the name and id of every started process."""
    screen.write_title("Processes")
    for process in running.started:
        screen.write_line(f"{process.name:12} process {process.pid}")


def declare(screen: Screen, running: deployment.Deployment, key: str) -> None:
    """Declare classes, workspace, service and bindings as an operator."""
    screen.write_title("An operator declares classes, a workspace and bindings")
    for text in DECLARATIONS:
        command = text.format(key=key)
        screen.write_line(f"trestlestall command '{text.format(key='...')}'")
        finished = running.run_client("command", command)
        screen.write_line("  " + finished.stdout.strip())
        if finished.returncode:
            raise exceptions.OperatorError(f"{text}: {finished.stderr.strip()}")
    for router in running.routers:
        deployment.wait_for_model(router, key, MODEL)


def stream_answers(screen: Screen, running: deployment.Deployment, key: str) -> None:
    """Ask each router a question and stream the answers to the screen."""
    for router, question in zip(running.routers, QUESTIONS, strict=True):
        screen.write_title(f"A caller asks {router.name}: {question}")
        screen.write_part("   ")
        body = calls.make_chat(MODEL, question)
        answer = calls.stream(router.callers, body, key, screen.write_part)
        screen.write_part("\n")
        screen.write_line(describe(answer))
        check(answer.status == 200 and answer.whole, f"whole answer from {router.name}")


def call_service(screen: Screen, running: deployment.Deployment, key: str) -> None:
    """Call the plain service twice under one key; the work must run once."""
    screen.write_title("A caller confirms a slot, and sends it again")
    for _ in range(2):
        answer = calls.call(
            "POST",
            running.routers[0].callers,
            "/v1/services/slots/confirm",
            {"slot": 12},
            key,
            idempotency_key="slot-12",
        )
        screen.write_line(describe(answer))
        check(answer.status == 200, "the slot is confirmed")
        # The first answer is recorded while it is sent.
        time.sleep(RECORD_SECONDS)
    counts = calls.call("GET", running.services[0].address, "/v1/counts").document
    screen.write_line(f"the service did the work {counts['calls']} time(s)")
    check(counts["calls"] == 1, "the work was done once")


def show_refusal(screen: Screen, running: deployment.Deployment, key: str) -> None:
    """Request a model that is not bound to the workspace."""
    screen.write_title("A request that is refused at once")
    answer = calls.ask(running.routers[0].callers, "m9", "hello", key)
    screen.write_line(describe(answer))
    check(answer.status >= 400 and answer.run == "not_run", "refused as not run")


def show_status(screen: Screen, running: deployment.Deployment) -> None:
    """Print the status that an operator sees."""
    screen.write_title("trestlestall status")
    finished = running.run_client("status")
    for line in finished.stdout.splitlines():
        screen.write_line(line)
    check(finished.returncode == 0, f"status: {finished.stderr.strip()}")


def describe(answer: calls.Answer) -> str:
    """Return one line about an answer."""
    request = answer.headers.get("trestlestall-request", "-")
    line = f"status {answer.status}, request {request}"
    if answer.error_code:
        line += f", code {answer.error_code}, {answer.run}"
    return line


def check(holds: bool, what: str) -> None:
    """Raise ``DeploymentError`` if a step did not succeed."""
    if not holds:
        raise exceptions.DeploymentError(f"the demonstration expected: {what}")


def run_steps(screen: Screen, running: deployment.Deployment) -> None:
    """Run the whole demonstration in a deployment."""
    key = secrets.token_hex(16)
    show_processes(screen, running)
    declare(screen, running, key)
    stream_answers(screen, running, key)
    call_service(screen, running, key)
    show_refusal(screen, running, key)
    show_status(screen, running)


def run() -> int:
    """Run the demonstration and return its exit status."""
    screen = Screen()
    processes.exit_on_termination()
    try:
        with tempfile.TemporaryDirectory(prefix="trestlestall-") as folder:
            with deployment.start_deployment(folder, PLAN) as running:
                run_steps(screen, running)
            stopped = [each.child.returncode for each in running.started]
            processes_left = [each for each in running.started if each.running]
    except exceptions.StandinError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    screen.write_title(f"Ended {len(stopped)} processes, {len(processes_left)} left")
    return 0 if not any(stopped) else 1


if __name__ == "__main__":
    sys.exit(run())
