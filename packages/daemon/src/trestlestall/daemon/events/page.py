"""Generates the page docs/EVENTS.md from the catalogue of events.

``python -m trestlestall.daemon.events.page > docs/EVENTS.md`` updates the page.
"""

import sys
import types

from trestlestall.daemon import events

HEAD = """\
# Events

Every line that `trestlestalld` logs is one of these numbered events, written as one
JSON object: by routers and control processes to standard error, by gateways and
directories to standard output. Each line has `event` (the number), `at` (UTC), `level`,
`name` and `process` (the name in the settings), and those of the fields listed here
that apply; times are in seconds, lengths of text in tokens. A number never changes its
meaning, so alerts should match on numbers. At level `error` an operator has to act, at
`warning` to investigate if it repeats.

This page is generated from the code by `python -m trestlestall.daemon.events.page`, and
a test checks that it is up to date.
"""


def write_page() -> str:
    """Return the page as text."""
    return "\n".join([HEAD, *(write_section(module) for module in events.RANGES)])


def write_section(module: types.ModuleType) -> str:
    """Return the section of one range of numbers, titled by its module's docstring."""
    title = module.__doc__.strip().rstrip(".")
    found = [
        value for value in vars(module).values() if isinstance(value, events.Event)
    ]
    return "\n".join([f"## {title}\n", *(write_event(event) for event in found)])


def write_event(event: events.Event) -> str:
    """Return the entry of one event."""
    fields = ", ".join(f"`{field}`" for field in event.fields)
    return (
        f"### {event.number} {event.name} ({event.level})\n\n"
        f"{event.meaning} {event.action}\n\nFields: {fields}.\n"
    )


if __name__ == "__main__":
    sys.stdout.write(write_page())
