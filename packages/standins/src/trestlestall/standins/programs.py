"""What every stand-in program does alike: patch, print its address, await its end."""

import json
import signal
import socket
import sys
import typing

import eventlet

WAKE_UP_BYTES = 16


def patch() -> None:
    """Make the standard library's blocking calls switch greenlets."""
    eventlet.monkey_patch()


def print_line(**fields: typing.Any) -> None:
    """Write one JSON line to standard output at once."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def await_termination() -> None:
    """Return once the process gets SIGTERM or SIGINT.

    A handler alone would not do: the hub's poll goes on after it. The kernel's wake-up
    byte makes the hub switch to this greenlet.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    reader.recv(WAKE_UP_BYTES)


def read_switch(text: str) -> bool:
    """Return whether a switch of the command line is on: ``yes`` or ``no``."""
    return text.strip().lower() in ("yes", "true", "on", "1")
