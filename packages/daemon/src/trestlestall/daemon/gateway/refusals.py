"""Error responses that the gateway generates itself."""

import dataclasses

import msgspec

JSON = (b"Content-Type", b"application/json")
BAD_REQUEST, UNAUTHORIZED, NOT_FOUND = 400, 401, 404
BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504

STOPPING = "the gateway stops"
#: Seconds until a client retry, by reason, where the retry reaches another gateway.
RETRY_AFTER_SECONDS = {STOPPING: 0.05}
#: The same for all other reasons: about what an entire deployment takes from its start
#: to the first response.
DEFAULT_RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a request is refused; its id and route are empty if unknown."""

    status: int
    reason: str
    request_id: str = ""
    route: str = ""


def get_retry_after(status: int, reason: str) -> float | None:
    """Return after how many seconds to retry; None if retrying would not help."""
    if status != UNAVAILABLE:
        return None
    return RETRY_AFTER_SECONDS.get(reason, DEFAULT_RETRY_AFTER_SECONDS)


def list_error_headers(retry_after: float | None) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response; ``retry_after`` is in seconds."""
    if retry_after is None:
        return [JSON]
    return [JSON, (b"Retry-After", f"{retry_after:.2f}".encode())]


def encode_error(reason: str) -> bytes:
    """Return the body of an error response."""
    return msgspec.json.encode({"error": reason})
