"""Validation and encoding of upstreams' announcements.

Announcements come from upstreams and from any other client of the same endpoint, and
directories forward the resulting rows to each other and to gateways. All of them are
untrusted and are checked here. Each check is registered, and returns the reason why a
row is invalid in one line, or None.
"""

import math
import string
from collections import abc

from trestlestall.forwarding import model, upstreams
from trestlestall.wire import addresses, directory_messages, exceptions

#: The longest name of an upstream, a service or a data centre, in characters; several
#: times the length of names that deployments use.
NAME_LENGTH_LIMIT = 200
#: Characters allowed in the name of an upstream, which is part of a path and a header.
NAME_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-._~@:")
#: The most requests that one upstream may run at once; a hundred times as many as the
#: largest upstreams run today.
SLOTS_LIMIT = 100_000
#: The longest warm-up that an upstream may announce: a day.
WARM_UP_LIMIT_SECONDS = 86_400.0
#: Larger integers are not exact in JSON implementations that use 64-bit floats.
COUNT_LIMIT = 2**53

Check = abc.Callable[[upstreams.Row], str | None]
CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register a check of rows; a decorator."""
    CHECKS.append(function)
    return function


def find_fault(row: upstreams.Row) -> model.Invalid | None:
    """Return the reason why the row is invalid, or None for a valid row."""
    for function in CHECKS:
        reason = function(row)
        if reason is not None:
            return model.Invalid(reason)
    return None


def encode(
    rows: abc.Iterable[upstreams.Row], token: int = 0
) -> directory_messages.Announced:
    """Return the message that carries the rows.

    The receiver acknowledges a message whose token isn't 0.
    """
    encoded = tuple(upstreams.encode_row(row) for row in rows)
    return directory_messages.Announced(token, encoded)


def encode_versions(
    rows: abc.Iterable[upstreams.Row],
) -> directory_messages.UpstreamVersions:
    """Return the message that carries the known versions of the rows."""
    known = ((row.identity, row.version) for row in rows if row.version is not None)
    return directory_messages.UpstreamVersions(tuple(known))


def decode_versions(
    encoded: abc.Iterable[object], report: abc.Callable[[str, str], object]
) -> list[tuple[str, str]]:
    """Return the valid pairs of a message; ``report`` is that of ``decode_rows``."""
    found = []
    for item in encoded:
        identity, version = item if is_pair(item) else ("", None)
        if isinstance(identity, str) and is_version(version):
            found.append((identity, version))
        else:
            report("", f"invalid version of an upstream: {item!r}"[:NAME_LENGTH_LIMIT])
    return found


def is_pair(item: object) -> bool:
    """Return whether a plain value is a list of two."""
    return isinstance(item, (list, tuple)) and len(item) == 2


def is_version(value: object) -> bool:
    """Return whether a value is a software version that can be shown and compared."""
    return (
        isinstance(value, str)
        and len(value) <= NAME_LENGTH_LIMIT
        and value.isprintable()
    )


def decode_rows(
    encoded: abc.Iterable[object], report: abc.Callable[[str, str], object]
) -> list[upstreams.Row]:
    """Return the valid rows of a message.

    ``report`` is called with the identity (empty if it can't be read) and the reason
    for each invalid row.
    """
    found = []
    for item in encoded:
        try:
            row = upstreams.decode_row(item)
            fault = find_fault(row)
        except ValueError as error:
            report("", str(error))
            continue
        if fault is None:
            found.append(row)
        else:
            report(row.identity, fault.reason)
    return found


@check
def check_names(row: upstreams.Row) -> str | None:
    """The name of an upstream has to be valid in a path and in a header."""
    for name in (row.identity, row.announced_name):
        if not isinstance(name, str) or not 0 < len(name) <= NAME_LENGTH_LIMIT:
            return "no name of an upstream"
        if not NAME_CHARACTERS.issuperset(name):
            return "a name with letters that a header can't hold"
    if row.identity != upstreams.format_identity(row.announced_name, row.born):
        return "an identity that is not the start's"
    return None


@check
def check_counts(row: upstreams.Row) -> str | None:
    """Counts are integers from 0 to their limits."""
    bounds = {"sequence": COUNT_LIMIT, "slots": SLOTS_LIMIT, "born": COUNT_LIMIT}
    for field, limit in bounds.items():
        value = getattr(row, field)
        if type(value) is not int or not 0 <= value <= limit:
            return f"{field} {value!r}"
    return None


@check
def check_kind(row: upstreams.Row) -> str | None:
    """``reclaimable`` is a boolean."""
    return None if isinstance(row.reclaimable, bool) else "no kind of upstream"


@check
def check_version(row: upstreams.Row) -> str | None:
    """``version`` is a short printable text, or unknown."""
    if row.version is None or is_version(row.version):
        return None
    return "no version of an upstream"


@check
def check_warming(row: upstreams.Row) -> str | None:
    """The remaining warm-up is a finite number of seconds within the limit."""
    seconds = row.warm_seconds
    if isinstance(seconds, bool) or not isinstance(seconds, (int, float)):
        return f"slow for {seconds!r} seconds"
    if not math.isfinite(seconds) or not 0 <= seconds <= WARM_UP_LIMIT_SECONDS:
        return f"slow for {seconds!r} seconds"
    return None


@check
def check_place(row: upstreams.Row) -> str | None:
    """A row names a service, data centre, address and slots.

    The row of an upstream that has left may have no service; nothing else of it is
    checked then.
    """
    if row.state is upstreams.State.GONE and not row.service:
        return None
    for field in ("service", "data_centre"):
        value = getattr(row, field)
        if not isinstance(value, str) or len(value) > NAME_LENGTH_LIMIT:
            return f"{field} is no name"
        if not value.isprintable():
            return f"{field} has letters that can't be shown"
    if not row.service:
        return "no service"
    if row.slots < 1:
        return f"slots {row.slots}"
    return find_address_fault(row.address)


def find_address_fault(address: object) -> str | None:
    """Return the reason why the address can't be connected to, or None."""
    if not isinstance(address, str):
        return "no address"
    try:
        _, port = addresses.parse(address)
    except exceptions.InvalidAddressError as error:
        return str(error)
    return None if port else f"{address}: no port"
