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

import cbor2

from trestlestall.wire import codec, messages

NONCE_BYTES = 32
DIALLING = "dialling"
ACCEPTING = "accepting"


@dataclasses.dataclass(frozen=True)
class Refused:
    """The other side is not let in."""

    reason: str


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


def is_proven(expected: messages.Proof, received: object) -> bool:
    """Return whether the received message is the expected proof."""
    if not isinstance(received, messages.Proof):
        return False
    return hmac.compare_digest(expected.signature, received.signature)


def check_challenge(
    own: messages.Challenge, received: object
) -> messages.Challenge | Refused:
    """Return the other side's challenge, or why it is refused unread."""
    if not isinstance(received, messages.Challenge):
        return Refused("no challenge")
    if len(received.nonce) != NONCE_BYTES:
        return Refused("a nonce of another length")
    if not received.name or received.name == own.name:
        return Refused(f"the name {received.name!r}")
    return received
