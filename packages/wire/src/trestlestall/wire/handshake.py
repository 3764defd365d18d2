"""Mutual proof that both sides hold the shared secret, before anything else is said.

Both sides send a ``Challenge``: their names, roles and a fresh nonce. The dialling side
then signs both challenges (HMAC-SHA-256), and the accepting side, once it has checked
that, signs them under another label. Since each signature covers both challenges and
the label of its side, it can't be replayed, reflected, or used between other processes.
The frames that follow are not signed: the links belong on networks of the operator.
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
    """The other side is not let in."""

    reason: str


def make_challenge(hello: messages.Hello) -> messages.Challenge:
    """Return our challenge with a fresh nonce."""
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
    """Prove who we are to the side we dialled, then check its proof.

    ``check`` returns why a challenge isn't acceptable, or ``None``. The result is the
    other side's challenge, which says who it is.
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
    """Check the proof of the side that dialled, and only then give ours."""
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
    """Return the next message of the handshake, or ``None`` when it is late."""
    frame = connection.receive(deadline)
    return None if frame is None else codec.decode(frame)


def sign(
    secret: bytes,
    side: str,
    dialling: messages.Challenge,
    accepting: messages.Challenge,
) -> messages.Proof:
    """Return the proof of the side over both challenges."""
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
    """Return the other side's challenge if it proved it, else that it did not."""
    if is_proven(expected, received):
        return challenge
    return Refused(f"{challenge.name!r} gave no valid proof")


def is_proven(expected: messages.Proof, received: object) -> bool:
    """Return whether the received message is the expected proof."""
    if not isinstance(received, messages.Proof):
        return False
    return hmac.compare_digest(expected.signature, received.signature)


def check_challenge(
    own: messages.Challenge, received: object, check: Check
) -> messages.Challenge | Refused:
    """Return the other side's challenge, or why it is refused."""
    if not isinstance(received, messages.Challenge):
        return Refused("no challenge")
    if len(received.nonce) != NONCE_BYTES:
        return Refused("a nonce of another length")
    if not received.name or received.name == own.name:
        return Refused(f"the name {received.name!r}")
    reason = check(received)
    return received if reason is None else Refused(reason)
