"""Common parts of the stand-in programs: patching, output, termination."""

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
    """Write one JSON line to standard output, unbuffered."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def await_termination() -> None:
    """Return once the process gets SIGTERM or SIGINT.

    A signal handler alone is not enough, because the hub continues polling after it.
    The byte written to the wake-up file descriptor makes the hub switch to this
    greenlet.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    reader.recv(WAKE_UP_BYTES)


def read_switch(text: str) -> bool:
    """Return the value of a command line switch, ``yes`` or ``no``."""
    return text.strip().lower() in ("yes", "true", "on", "1")
