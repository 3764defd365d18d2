"""Plain forms of upstreams, reports and rows, which JSON and CBOR carry.

An announcement, a report and a whole row are maps by field name; a renewal, of which a
router sends many each second, is a short list of integers. Decoding checks types,
bounds and unknown keys; what fails is a ``Malformed`` value with the place.
"""

import dataclasses
import typing
from collections import abc

import msgspec

from trestlestall.membership import limits, outcomes, rows, upstreams

STEPS_PER_SECOND = 10
MILLISECONDS = 1000
PERCENT = 100

Key = typing.Annotated[
    bytes, msgspec.Meta(min_length=rows.KEY_BYTES, max_length=rows.KEY_BYTES)
]
LeaseSteps = typing.Annotated[
    int, msgspec.Meta(ge=0, le=limits.LONGEST_LEASE * STEPS_PER_SECOND)
]
AgeSteps = typing.Annotated[
    int, msgspec.Meta(ge=0, le=limits.LARGEST_AGE * STEPS_PER_SECOND)
]
Offset = typing.Annotated[
    int, msgspec.Meta(ge=-limits.LARGEST_INTEGER, le=limits.LARGEST_INTEGER)
]
Percent = typing.Annotated[int, msgspec.Meta(ge=0, le=PERCENT)]

# Key, sequence, remaining and age of the report in tenths of a second, its time stamp
# in milliseconds after the sequence, running, waiting, tokens per second, KV percent.
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
    """Return the announcement as an upstream sends it."""
    return msgspec.to_builtins(upstream, builtin_types=(bytes,))


def decode_upstream(document: object) -> upstreams.Upstream | outcomes.Malformed:
    """Return the announced upstream, or what is wrong with the document."""
    return decode(document, upstreams.Upstream)


def decode_report(document: object) -> upstreams.Report | outcomes.Malformed:
    """Return the report of a renewal, or what is wrong with the document."""
    return decode(document, upstreams.Report)


def encode_rows(told: abc.Iterable[rows.Row | rows.Renewal]) -> tuple[object, ...]:
    """Return the plain forms of the rows."""
    return tuple(
        encode_renewal(row)
        if isinstance(row, rows.Renewal)
        else msgspec.to_builtins(row, builtin_types=(bytes,))
        for row in told
    )


def decode_rows(
    forms: abc.Iterable[object],
) -> tuple[rows.Row | rows.Renewal, ...] | outcomes.Malformed:
    """Return the rows, or what is wrong with the first malformed one."""
    checked = decode(list(forms), tuple[RenewalForm | dict[str, typing.Any], ...])
    if isinstance(checked, outcomes.Malformed):
        return checked
    told = []
    for form in checked:
        row = decode(form, rows.Row) if isinstance(form, dict) else read_renewal(form)
        if isinstance(row, outcomes.Malformed):
            return row
        told.append(row)
    return tuple(told)


def encode_renewal(renewal: rows.Renewal) -> list[object]:
    """Return the renewal's list; what is left of the lease is rounded down."""
    report = renewal.report
    return [
        renewal.key,
        renewal.sequence,
        max(0, int(renewal.remaining * STEPS_PER_SECOND)),
        max(0, round(renewal.age * STEPS_PER_SECOND)),
        round(report.at * MILLISECONDS) - renewal.sequence * MILLISECONDS,
        report.running,
        report.waiting,
        round(report.tokens_per_second),
        round(report.kv_used * PERCENT),
    ]


def read_renewal(fields: tuple[typing.Any, ...]) -> rows.Renewal:
    """Return the renewal of a checked list."""
    key, sequence, remaining, age, offset, running, waiting, rate, used = fields
    at = (sequence * MILLISECONDS + offset) / MILLISECONDS
    report = upstreams.Report(at, running, waiting, float(rate), used / PERCENT)
    return rows.Renewal(
        key=key,
        sequence=sequence,
        remaining=remaining / STEPS_PER_SECOND,
        age=age / STEPS_PER_SECOND,
        report=report,
    )


def decode(document: object, kind: typing.Any) -> typing.Any:
    """Return the document as a value of the kind, or a ``Malformed`` value."""
    unknown = find_unknown_key(document, kind, "$")
    if unknown is not None:
        return outcomes.Malformed(f"unknown key {unknown}")
    try:
        return msgspec.convert(document, kind)
    except (msgspec.ValidationError, OverflowError) as error:
        return outcomes.Malformed(str(error))


def find_unknown_key(document: object, kind: typing.Any, path: str) -> str | None:
    """Return the path of a key that the data class does not have, or ``None``."""
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
