"""Mutual authentication by the shared secret, before any other message.

Both sides send a ``Challenge`` with their name, their role and a fresh nonce. The
dialling side then signs both challenges (HMAC-SHA-256). The accepting side verifies
that signature and signs them under another label. Since each signature covers both
challenges and the label of its side, it can't be replayed, reflected, or used between
other processes. Later frames are not signed: links are meant for the operator's own
networks.
"""

import dataclasses
import hashlib
import hmac
import os
from collections import abc

import cbor2

from trestlestall.wire import codec, connections, messages

NONCE_BYTES = 32
DIALLING = "dialling"
ACCEPTING = "accepting"


Check = abc.Callable[[messages.Challenge], str | None]


@dataclasses.dataclass(frozen=True)
class Refused:
    """The handshake failed: the other side is refused, for a reason."""

    reason: str


def make_challenge(hello: messages.Hello) -> messages.Challenge:
    """Return this process's challenge with a fresh nonce."""
    nonce = os.urandom(NONCE_BYTES)
    return messages.Challenge(
        hello.name, hello.role, hello.data_centre, hello.identity, nonce
    )


def prove_dialled(
    connection: connections.Connection,
    own: messages.Challenge,
    secret: bytes,
    deadline: float,
    check: Check,
) -> messages.Challenge | Refused:
    """Authenticate to the side that this process dialled, then verify its proof.

    ``check`` returns why a challenge isn't acceptable, or ``None``. The result is the
    other side's challenge, which holds its identity.
    """
    connection.send(codec.encode(own))
    answer = check_challenge(own, receive(connection, deadline), check)
    if isinstance(answer, Refused):
        return answer
    connection.send(codec.encode(sign(secret, DIALLING, own, answer)))
    expected = sign(secret, ACCEPTING, own, answer)
    return check_proof(answer, expected, receive(connection, deadline))


def prove_accepted(
    connection: connections.Connection,
    own: messages.Challenge,
    secret: bytes,
    deadline: float,
    check: Check,
) -> messages.Challenge | Refused:
    """Verify the proof of the side that dialled, and only then send one's own."""
    answer = check_challenge(own, receive(connection, deadline), check)
    if isinstance(answer, Refused):
        return answer
    connection.send(codec.encode(own))
    expected = sign(secret, DIALLING, answer, own)
    proven = check_proof(answer, expected, receive(connection, deadline))
    if not isinstance(proven, Refused):
        connection.send(codec.encode(sign(secret, ACCEPTING, answer, own)))
    return proven


def receive(connection: connections.Connection, deadline: float) -> object:
    """Return the next message, or ``None`` if none arrives before the deadline."""
    frame = connection.receive(deadline)
    return None if frame is None else codec.decode(frame)


def sign(
    secret: bytes,
    side: str,
    dialling: messages.Challenge,
    accepting: messages.Challenge,
) -> messages.Proof:
    """Return the proof of the side: its signature over both challenges."""
    text = cbor2.dumps(
        [
            "trestlestall link",
            codec.PROTOCOL_VERSION,
            side,
            list(dataclasses.astuple(dialling)),
            list(dataclasses.astuple(accepting)),
        ]
    )
    return messages.Proof(hmac.digest(secret, text, hashlib.sha256))


def check_proof(
    challenge: messages.Challenge, expected: messages.Proof, received: object
) -> messages.Challenge | Refused:
    """Return the other side's challenge if its proof is valid, else a refusal."""
    if is_proven(expected, received):
        return challenge
    return Refused(f"{challenge.name!r} gave no valid proof")


def is_proven(expected: messages.Proof, received: object) -> bool:
    """Return whether the received message is the expected proof, in constant time."""
    if not isinstance(received, messages.Proof):
        return False
    return hmac.compare_digest(expected.signature, received.signature)


def check_challenge(
    own: messages.Challenge, received: object, check: Check
) -> messages.Challenge | Refused:
    """Return the other side's challenge if it is acceptable, else a refusal."""
    if not isinstance(received, messages.Challenge):
        return Refused("no challenge")
    if len(received.nonce) != NONCE_BYTES:
        return Refused("a nonce of another length")
    if not received.name or received.name == own.name:
        return Refused(f"the name {received.name!r}")
    reason = check(received)
    return received if reason is None else Refused(reason)
