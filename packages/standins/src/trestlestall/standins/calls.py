"""Blocking HTTP calls of a caller, an operator or the platform.

For the demo, the tests and the start of a deployment. Nothing is retried: ``urllib3``
would do so by default, but a test of at-most-once needs exactly the requests it sends.
"""

import contextlib
import dataclasses
import json
import typing
from collections import abc

import urllib3

from trestlestall.standins import addresses

TIMEOUT = urllib3.Timeout(connect=2.0, read=60.0)
NO_ANSWER = 0
END_MARK = "[DONE]"
DATA_PREFIX = "data:"


@dataclasses.dataclass(frozen=True)
class Answer:
    """A response; status 0 if the connection failed or ended early.

    ``text`` is a completion's text, possibly partial; ``whole`` is true if the response
    was complete. Header names are in lower case.
    """

    status: int
    headers: dict[str, str]
    data: bytes = b""
    text: str = ""
    whole: bool = True

    @property
    def document(self) -> typing.Any:
        """The parsed JSON body, or None."""
        try:
            return json.loads(self.data)
        except ValueError:
            return None

    @property
    def error_code(self) -> str:
        """The stable code of an error in the published format, else empty."""
        document = self.document
        error = document.get("error") if isinstance(document, dict) else None
        return str(error.get("code", "")) if isinstance(error, dict) else ""

    @property
    def run(self) -> str:
        """The outcome in an error: ``not_run``, ``outcome_unknown`` or ``ran``."""
        return self.document["error"].get("run", "") if self.error_code else ""


def open_pool() -> urllib3.PoolManager:
    """Return a connection pool that neither retries nor follows redirects."""
    return urllib3.PoolManager(retries=False, timeout=TIMEOUT)


def call(
    method: str,
    address: addresses.Address,
    path: str,
    body: typing.Any = None,
    key: str = "",
    **headers: str,
) -> Answer:
    """Send one request with a JSON body, and read the whole response.

    ``key`` is the bearer key. Further headers are keyword arguments, such as
    ``idempotency_key="k1"``.
    """
    with open_pool() as pool:
        try:
            answer = pool.request(
                method,
                f"http://{address}{path}",
                body=None if body is None else json.dumps(body),
                headers=write_headers(key, headers),
                redirect=False,
            )
        except urllib3.exceptions.HTTPError:
            return Answer(NO_ANSWER, {}, whole=False)
    return Answer(answer.status, read_headers(answer), answer.data)


def write_headers(key: str, headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of a call."""
    written = {name.replace("_", "-"): value for name, value in headers.items()}
    written["Content-Type"] = "application/json"
    if key:
        written["Authorization"] = f"Bearer {key}"
    return written


def read_headers(answer: typing.Any) -> dict[str, str]:
    """Return the response's headers by lower-case name."""
    return {name.lower(): value for name, value in answer.headers.items()}


def make_chat(model: str, text: str, **fields: typing.Any) -> dict:
    """Return the body of a chat completion with one user message."""
    message = {"role": "user", "content": text}
    return {"model": model, "messages": [message], **fields}


def ask(
    address: addresses.Address, model: str, text: str, key: str = "", **headers: str
) -> Answer:
    """Request a chat completion without streaming."""
    body = make_chat(model, text)
    path = "/v1/chat/completions"
    answer = call("POST", address, path, body, key, **headers)
    if answer.status != 200:
        return answer
    content = answer.document["choices"][0]["message"]["content"]
    return dataclasses.replace(answer, text=content)


def stream(
    address: addresses.Address,
    body: dict,
    key: str = "",
    on_text: abc.Callable[[str], None] = lambda text: None,
    **headers: str,
) -> Answer:
    """Request a streamed chat completion; ``on_text`` is called with each part."""
    with open_pool() as pool:
        try:
            answer = pool.request(
                "POST",
                f"http://{address}/v1/chat/completions",
                body=json.dumps({**body, "stream": True}),
                headers=write_headers(key, headers),
                redirect=False,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError:
            return Answer(NO_ANSWER, {}, whole=False)
        if answer.status != 200:
            return Answer(answer.status, read_headers(answer), answer.read())
        # Closed here, so that a caller that times out disconnects immediately.
        with contextlib.closing(answer):
            return read_stream(answer, on_text)


def read_stream(answer: typing.Any, on_text: abc.Callable[[str], None]) -> Answer:
    """Read a stream up to its end mark, or until it breaks."""
    parts = []
    error = b""
    ended = False
    try:
        for event in read_events(answer):
            if event == END_MARK:
                ended = True
                continue
            document = json.loads(event)
            if "error" in document:
                error = event.encode()
            text = read_delta(document)
            parts.append(text)
            on_text(text)
    except (urllib3.exceptions.HTTPError, OSError):
        ended = False
    text = "".join(parts)
    return Answer(200, read_headers(answer), error, text, whole=ended)


def read_events(answer: typing.Any) -> abc.Iterator[str]:
    """Yield the data of each server-sent event."""
    for line in read_lines(answer):
        if line.startswith(DATA_PREFIX):
            yield line[len(DATA_PREFIX) :].strip()


def read_lines(answer: typing.Any) -> abc.Iterator[str]:
    """Yield the lines of a streamed body as they arrive."""
    rest = b""
    for piece in answer.stream(amt=None):
        *lines, rest = (rest + piece).split(b"\n")
        yield from (line.decode() for line in lines)


def read_delta(document: dict) -> str:
    """Return the text in a chunk of a chat stream."""
    choices = document.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""
