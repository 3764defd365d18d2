"""Encoding of upstreams, reports and rows to plain values for JSON and CBOR.

Announcements, reports and whole rows are encoded as maps by field name. A renewal is
encoded as a short list of integers, since a router sends many each second. Decoding
checks types, bounds and unknown keys; invalid input gives a ``Malformed`` value that
names the path of the invalid part.
"""

import dataclasses
import typing
from collections import abc

import msgspec

from trestlestall.membership import limits, outcomes, rows, upstreams

STEPS_PER_SECOND = 10
MS_PER_SECOND = 1000
PERCENT = 100

Key = typing.Annotated[
    bytes, msgspec.Meta(min_length=rows.KEY_BYTES, max_length=rows.KEY_BYTES)
]
LeaseSteps = typing.Annotated[
    int, msgspec.Meta(ge=0, le=limits.MAX_LEASE_SECONDS * STEPS_PER_SECOND)
]
AgeSteps = typing.Annotated[
    int, msgspec.Meta(ge=0, le=limits.MAX_AGE_SECONDS * STEPS_PER_SECOND)
]
Offset = typing.Annotated[
    int, msgspec.Meta(ge=-limits.MAX_INTEGER, le=limits.MAX_INTEGER)
]
Percent = typing.Annotated[int, msgspec.Meta(ge=0, le=PERCENT)]

# Key, sequence, remaining lease and age of the report (both in tenths of a second), the
# report's timestamp (milliseconds relative to the sequence, which is in seconds),
# running, waiting, tokens per second, KV cache use in percent.
RenewalForm = tuple[
    Key,
    limits.Incarnation,
    LeaseSteps,
    AgeSteps,
    Offset,
    limits.Count,
    limits.Count,
    limits.Count,
    Percent,
]


def encode_upstream(upstream: upstreams.Upstream) -> dict[str, typing.Any]:
    """Return the announcement as a plain value, in the form that upstreams send."""
    return strip_version(msgspec.to_builtins(upstream, builtin_types=(bytes,)))


def encode_row(row: rows.Row) -> dict[str, typing.Any]:
    """Return the whole row as a plain value."""
    form = msgspec.to_builtins(row, builtin_types=(bytes,))
    strip_version(form["upstream"])
    return form


def strip_version(form: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Leave out a version that was not announced: earlier builds refuse the key."""
    if not form["version"]:
        del form["version"]
    return form


def decode_upstream(document: object) -> upstreams.Upstream | outcomes.Malformed:
    """Return the announced upstream, or the first error in the document."""
    return decode(document, upstreams.Upstream)


def decode_report(document: object) -> upstreams.Report | outcomes.Malformed:
    """Return the report of a renewal, or the first error in the document."""
    return decode(document, upstreams.Report)


def encode_rows(updates: abc.Iterable[rows.Row | rows.Renewal]) -> tuple[object, ...]:
    """Return the rows and renewals as plain values."""
    return tuple(
        encode_renewal(row) if isinstance(row, rows.Renewal) else encode_row(row)
        for row in updates
    )


def decode_rows(
    forms: abc.Iterable[object],
) -> tuple[rows.Row | rows.Renewal, ...] | outcomes.Malformed:
    """Return the rows and renewals, or the error in the first malformed one."""
    checked = decode(list(forms), tuple[RenewalForm | dict[str, typing.Any], ...])
    if isinstance(checked, outcomes.Malformed):
        return checked
    updates = []
    for form in checked:
        row = decode(form, rows.Row) if isinstance(form, dict) else decode_renewal(form)
        if isinstance(row, outcomes.Malformed):
            return row
        updates.append(row)
    return tuple(updates)


def encode_renewal(renewal: rows.Renewal) -> list[object]:
    """Return the renewal as a list; the remaining lease is rounded down."""
    report = renewal.report
    return [
        renewal.key,
        renewal.sequence,
        max(0, int(renewal.remaining * STEPS_PER_SECOND)),
        max(0, round(renewal.age * STEPS_PER_SECOND)),
        round(report.at * MS_PER_SECOND) - renewal.sequence * MS_PER_SECOND,
        report.running,
        report.waiting,
        round(report.tokens_per_second),
        round(report.kv_used * PERCENT),
    ]


def decode_renewal(fields: tuple[typing.Any, ...]) -> rows.Renewal:
    """Return the renewal from a list whose types and bounds have been checked."""
    key, sequence, remaining, age, offset, running, waiting, rate, used = fields
    at = (sequence * MS_PER_SECOND + offset) / MS_PER_SECOND
    report = upstreams.Report(at, running, waiting, float(rate), used / PERCENT)
    return rows.Renewal(
        key=key,
        sequence=sequence,
        remaining=remaining / STEPS_PER_SECOND,
        age=age / STEPS_PER_SECOND,
        report=report,
    )


def decode(document: object, kind: typing.Any) -> typing.Any:
    """Return the document converted to the type ``kind``, or a ``Malformed`` value."""
    unknown = find_unknown_key(document, kind, "$")
    if unknown is not None:
        return outcomes.Malformed(f"unknown key {unknown}")
    try:
        return msgspec.convert(document, kind)
    except (msgspec.ValidationError, OverflowError) as error:
        return outcomes.Malformed(str(error))


def find_unknown_key(document: object, kind: typing.Any, path: str) -> str | None:
    """Return the path of the first key without a field in the class, or ``None``."""
    if not dataclasses.is_dataclass(kind) or not isinstance(document, dict):
        return None
    kinds = {field.name: field.type for field in dataclasses.fields(kind)}
    for key, value in document.items():
        if key not in kinds:
            return f"{path}.{key}"
        unknown = find_unknown_key(value, kinds[key], f"{path}.{key}")
        if unknown is not None:
            return unknown
    return None
