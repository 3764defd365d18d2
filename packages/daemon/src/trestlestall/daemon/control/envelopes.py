"""Encoding of messages between voters in ``wire.messages.Agreement``; pure.

Links connect processes, but a voter is a process with a certain disk. So each message
names the voter that it is for, and a message to a disk that was replaced is dropped.
"""

import dataclasses
import typing

from trestlestall.agreement import documents, messages
from trestlestall.daemon.control import group
from trestlestall.wire import messages as wire

NOTICE = "notice"
TO = "to"
BODY = "body"


@dataclasses.dataclass(frozen=True)
class VoterMessage:
    """A message between voters, or a group notice, with its sender and receiver."""

    sender: str
    to: str
    message: typing.Any


def wrap(sender: str, to: str, message: typing.Any) -> wire.Agreement:
    """Return the message encoded for the wire."""
    if isinstance(message, group.Notice):
        kind, body = NOTICE, documents.encode(message)
    else:
        kind, body = documents.encode_message(message)
    return wire.Agreement(sender, kind, {TO: to, BODY: body})


def unwrap(link: str, envelope: wire.Agreement) -> VoterMessage | None:
    """Return the message received over the link to that process, or None if invalid.

    It is invalid if its sender is not the process at the other end of the link, or if
    it tells of a lost disk of another host.
    """
    to = envelope.fields.get(TO)
    if not isinstance(to, str) or group.get_process_name(envelope.sender) != link:
        return None
    body = envelope.fields.get(BODY)
    if envelope.kind == NOTICE:
        message = documents.convert(body, group.Notice)
    else:
        message = documents.decode_message(envelope.kind, body)
    if isinstance(message, documents.Undecodable):
        return None
    if isinstance(message, messages.DiskLost) and not is_own_host(link, message):
        return None
    return VoterMessage(envelope.sender, to, message)


def is_own_host(process: str, message: messages.DiskLost) -> bool:
    """Return whether the voter that lost its disk is one of the process's host."""
    return group.get_process_name(message.voter) == process


def find_lost_disk(own: str, received: VoterMessage) -> messages.DiskLost | None:
    """Return the response to a message for a former disk of this host, if it is one.

    ``own`` is the voter name of this process, which has opened its disk.
    """
    host = group.get_process_name(own)
    if received.to == own or group.get_process_name(received.to) != host:
        return None
    return messages.DiskLost(received.to)
