"""Measure the cost of applying, encoding and decoding the configuration's state.

Run from the root: ``python packages/configuration/benchmarks/measure_state.py [N]``
with N workspaces (default 3,200), each bound to two of 35 models, and 8 classes.
Prints one line per figure: the median of ``timing.ROUNDS`` rounds, minimum and maximum.
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "packages" / "configuration" / "src"))
sys.path.insert(0, str(ROOT / "tools"))

import cbor2  # noqa: E402 (sys.path is set first)
import timing  # noqa: E402

from trestlestall.configuration import (  # noqa: E402
    commands,
    documents,
    model,
    state as states,
)

CLASSES = 8
MODELS = 35
COMMANDS = 10_000


def list_commands(workspaces: int) -> list[commands.Command]:
    """Return the commands that create the configuration to measure."""
    made: list[commands.Command] = []
    for tier in range(CLASSES):
        request_class = model.RequestClass(f"class-{tier}", tier, 2.0 + tier)
        made.append(commands.DeclareClass(request_class))
    for number in range(workspaces):
        name = f"workspace-{number}"
        workspace = model.Workspace(name, model.digest_key(name))
        made.append(commands.DeclareWorkspace(workspace))
        for offset in range(2):
            target = f"model-{(number + offset) % MODELS}"
            binding = model.Binding(name, target, f"class-{number % CLASSES}")
            made.append(commands.Bind(binding))
    return made


def list_changes(workspaces: int) -> list[commands.Command]:
    """Return the changes to measure: weights, bindings and drains in turn."""
    made: list[commands.Command] = []
    for number in range(COMMANDS):
        name = f"workspace-{number % workspaces}"
        workspace = model.Workspace(name, model.digest_key(name), 2.0)
        target = f"model-{number % workspaces % MODELS}"
        binding = model.Binding(name, target, f"class-{number % CLASSES}")
        upstream = commands.Drain(f"upstream-{number % 600}")
        kinds = (commands.DeclareWorkspace(workspace), commands.Bind(binding), upstream)
        made.append(kinds[number % 3])
    return made


def apply_all(
    state: states.State, changes: list[commands.Command], prefix: str
) -> states.State:
    """Return the state after the commands, each with its own request identifier."""
    for number, command in enumerate(changes):
        request_id = f"{prefix}-{number}"
        submission = commands.Submission(request_id, "alice", None, command)
        state, _ = states.apply_submission(state, submission, float(number))
    return state


def main() -> None:
    """Build the state, measure it and print the figures."""
    workspaces = int(sys.argv[1]) if len(sys.argv) > 1 else 3_200
    built = list_commands(workspaces)
    timing.measure(
        "build, a command", lambda: apply_all(states.EMPTY, built, "b"), len(built)
    )
    state = apply_all(states.EMPTY, built, "b")
    changes = list_changes(workspaces)
    full = apply_all(state, changes, "c")
    timing.measure("apply, a command", lambda: apply_all(full, changes, "d"), COMMANDS)
    repeated = commands.Submission("c-9999", "alice", None, changes[9999])
    timing.measure("resend", lambda: states.apply_submission(full, repeated, 0.0))
    timing.measure(
        "find workspace", lambda: full.configuration.find_workspace("workspace-7")
    )
    document = documents.encode_state(full)
    data = cbor2.dumps(document)
    timing.measure("encode state", lambda: documents.encode_state(full))
    timing.measure("state to CBOR", lambda: cbor2.dumps(document))
    timing.measure("state from CBOR", lambda: cbor2.loads(data))
    timing.measure("decode state", lambda: documents.decode_state(document))
    print(f"state in CBOR: {len(data):,} bytes")
    plain = documents.encode_configuration(full.configuration)
    size = len(cbor2.dumps(plain))
    encode = documents.encode_configuration
    timing.measure("encode configuration", lambda: encode(full.configuration))
    timing.measure(
        "decode configuration", lambda: documents.decode_configuration(plain)
    )
    print(f"configuration in CBOR: {size:,} bytes")


if __name__ == "__main__":
    main()
