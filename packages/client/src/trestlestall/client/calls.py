"""Calls to the operators' interface, with failover over several servers.

A call tries the servers in turn until one answers. This is safe for commands too: each
has a request id, and a command resent with its id gets its first answer and is never
executed twice. urllib3's own retries are off, so that every attempt is accounted for.
"""

import contextlib
import dataclasses
import json
import typing
from collections import abc

import urllib3

from trestlestall.client import answers, settings

OPERATOR_PATH = "/v1/operator"
STATUS_PATH = "/v1/status"
ANSWER_LIMIT = 64 * 1024 * 1024
# Errors of connecting: the request was certainly not sent.
NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


@dataclasses.dataclass(frozen=True)
class Lost:
    """No server answered; ``reasons`` has a line for each that was tried.

    ``outcome_unknown`` is true if one of them may have executed the request.
    """

    outcome_unknown: bool
    reasons: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Order:
    """One command or query to send, with the id that makes resending it safe."""

    text: str
    request_id: str
    number: int | None = None
    dry_run: bool = False


class Client:
    """Sends requests to the servers in the settings."""

    def __init__(self, found: settings.ClientSettings, pool: urllib3.PoolManager):
        self._settings = found
        self._pool = pool

    def send(self, order: Order) -> answers.Answer | Lost:
        """Return the answer to a command or query."""
        body = json.dumps(dataclasses.asdict(order)).encode()
        return self._call_servers("POST", OPERATOR_PATH, body)

    def read_status(self) -> answers.Answer | Lost:
        """Return the status document of the first server that answers."""
        return self._call_servers("GET", STATUS_PATH, None)

    def _call_servers(self, method: str, path: str, body: bytes | None) -> typing.Any:
        """Call the servers in order, each once, until one answers."""
        reasons = []
        unknown = False
        for server in self._settings.servers:
            try:
                found = self._call_server(f"http://{server}{path}", method, body)
            except urllib3.exceptions.HTTPError as error:
                unknown = unknown or not isinstance(error, NOT_SENT)
                reasons.append(f"{server}: {_explain(error)}")
                continue
            if not isinstance(found, answers.Busy):
                return found
            unknown = unknown or found.outcome_unknown
            reasons.append(f"{server}: {found.message}")
        return Lost(unknown, tuple(reasons))

    def _call_server(self, url: str, method: str, body: bytes | None) -> answers.Answer:
        """Return one server's answer; raises urllib3's errors."""
        response = self._pool.request(
            method,
            url,
            body=body,
            headers=self._make_headers(),
            timeout=urllib3.Timeout(total=self._settings.timeout_seconds),
            retries=False,
            redirect=False,
            preload_content=False,
        )
        with contextlib.closing(response):
            content = response.read(ANSWER_LIMIT)
        return answers.read_answer(response.status, content)

    def _make_headers(self) -> dict[str, str]:
        """Return the headers of a call; each call has a connection of its own."""
        return {
            "Authorization": f"Bearer {self._settings.key}",
            "Content-Type": "application/json",
            "Connection": "close",
        }


@contextlib.contextmanager
def open_client(found: settings.ClientSettings) -> abc.Iterator[Client]:
    """Yield a client and close its connections afterwards."""
    with urllib3.PoolManager() as pool:
        yield Client(found, pool)


def _explain(error: urllib3.exceptions.HTTPError) -> str:
    """Return a description of the failure for operators."""
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return "the connection was refused or can't be made"
    if isinstance(error, urllib3.exceptions.ConnectTimeoutError):
        return "no connection in time"
    if isinstance(error, urllib3.exceptions.ReadTimeoutError):
        return "no answer in time"
    return "the connection broke before the whole answer came"
