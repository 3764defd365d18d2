"""Faults that a stand-in can be told to have, by ``POST /v1/faults``.

The body is ``{"kind": KIND, …}``; each kind is a function registered by name that
turns the body into the engine's next ``Faults``. Faults are set, never mixed.

    none                no fault
    straggle            every pass takes ``factor`` (10) times as long
    stall               no further token after ``after_tokens`` (0) more of them
    crash_mid_stream    a stream ends after ``after_tokens`` (5): ``how`` is ``exit``
                        (the process dies, the default) or ``cut`` (one connection
                        is closed)
    refuse              completions are answered 503 without having run, with a wish
                        for ``rest`` seconds of rest, if given
    drop                a request is read and its connection closed without an answer
    mute                no announcement or renewal, though calls are served
"""

import dataclasses
from collections import abc

DEFAULT_FACTOR = 10.0
DEFAULT_AFTER_TOKENS = 5


@dataclasses.dataclass(frozen=True)
class Faults:
    """What is wrong with the stand-in now; the default is nothing."""

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
    """Return the faults that the document asks for, or None for an unknown kind."""
    maker = KINDS.get((document or {}).get("kind", ""))
    return maker(document) if maker else None


@register("none")
def make_none(document: dict) -> Faults:
    """Return to health."""
    return Faults()


@register("straggle")
def make_straggle(document: dict) -> Faults:
    """Become slow."""
    return Faults("straggle", factor=float(document.get("factor", DEFAULT_FACTOR)))


@register("stall")
def make_stall(document: dict) -> Faults:
    """Stop making tokens, with every connection left open."""
    return Faults("stall", tokens_left=int(document.get("after_tokens", 0)))


@register("crash_mid_stream")
def make_crash(document: dict) -> Faults:
    """Break a stream that has begun."""
    after = int(document.get("after_tokens", DEFAULT_AFTER_TOKENS))
    exits = document.get("how", "exit") == "exit"
    return Faults("crash_mid_stream", crash_after=after, crash_exits=exits)


@register("refuse")
def make_refuse(document: dict) -> Faults:
    """Refuse completions before they run."""
    return Faults("refuse", rest=str(document.get("rest", "")))


@register("drop")
def make_drop(document: dict) -> Faults:
    """Close the connection of a request that was read."""
    return Faults("drop")


@register("mute")
def make_mute(document: dict) -> Faults:
    """Keep silent towards the entry hosts."""
    return Faults("mute")
