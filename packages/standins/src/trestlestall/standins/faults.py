"""Faults that are injected into a stand-in by ``POST /v1/faults``.

The body is ``{"kind": KIND, …}``. Each kind is a function registered by name that
turns the body into the engine's new ``Faults``. A fault replaces the one before.

    none                no fault
    straggle            every pass takes ``factor`` (10) times as long
    stall               no further tokens after ``after_tokens`` (0) more
    crash_mid_stream    a stream ends after ``after_tokens`` (5): ``how`` is ``exit``
                        (the process dies, the default) or ``cut`` (one connection
                        is closed)
    refuse              completions are answered 503 without running, with a
                        Retry-After of ``rest`` seconds, if given
    drop                a request is read and its connection closed without a response
    mute                no announcements or renewals, while calls are served
"""

import dataclasses
from collections import abc

DEFAULT_FACTOR = 10.0
DEFAULT_AFTER_TOKENS = 5


@dataclasses.dataclass(frozen=True)
class Faults:
    """The current fault of the stand-in; by default none."""

    kind: str = "none"
    factor: float = 1.0
    tokens_left: int | None = None
    crash_after: int | None = None
    crash_exits: bool = True
    rest: str = ""


Maker = abc.Callable[[dict], Faults]
KINDS: dict[str, Maker] = {}


def register(kind: str) -> abc.Callable[[Maker], Maker]:
    """Return a decorator that registers the maker of a kind of fault."""

    def add(maker: Maker) -> Maker:
        KINDS[kind] = maker
        return maker

    return add


def make(document: dict | None) -> Faults | None:
    """Return the requested faults, or None for an unknown kind."""
    maker = KINDS.get((document or {}).get("kind", ""))
    return maker(document) if maker else None


@register("none")
def make_none(document: dict) -> Faults:
    """Return to normal operation."""
    return Faults()


@register("straggle")
def make_straggle(document: dict) -> Faults:
    """Slow down every pass."""
    return Faults("straggle", factor=float(document.get("factor", DEFAULT_FACTOR)))


@register("stall")
def make_stall(document: dict) -> Faults:
    """Stop generating tokens, and leave every connection open."""
    return Faults("stall", tokens_left=int(document.get("after_tokens", 0)))


@register("crash_mid_stream")
def make_crash(document: dict) -> Faults:
    """Break a running stream."""
    after = int(document.get("after_tokens", DEFAULT_AFTER_TOKENS))
    exits = document.get("how", "exit") == "exit"
    return Faults("crash_mid_stream", crash_after=after, crash_exits=exits)


@register("refuse")
def make_refuse(document: dict) -> Faults:
    """Refuse completions before they run."""
    return Faults("refuse", rest=str(document.get("rest", "")))


@register("drop")
def make_drop(document: dict) -> Faults:
    """Close the connection of each request after reading it."""
    return Faults("drop")


@register("mute")
def make_mute(document: dict) -> Faults:
    """Stop announcing and renewing."""
    return Faults("mute")
