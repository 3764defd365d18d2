"""What placement knows of a request, whose body it never reads."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PrefixBlock:
    """A block of a prompt, identified by its text's hash; requests share blocks."""

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Descriptor:
    """A request as its headers describe it.

    ``rank`` is its priority among all requests (``urgency``). ``first_seconds``,
    ``pause_seconds`` and ``whole_seconds`` are the route's targets. ``tokens_in`` is
    the length of the prompt, ``tokens_out`` the most tokens that may be generated.
    ``parts`` are the blocks of the prompt in order: an engine that has cached the first
    blocks need not prefill them again. ``may_return`` tells that the caller has all its
    time left, so that it could retry after a refusal. ``may_repeat`` tells that another
    upstream may run the request, or resume it, after a failure. ``digest`` is the same
    for all attempts of one request (``crashes``).
    """

    request_id: str
    service: str
    rank: int
    first_seconds: float
    whole_seconds: float
    pause_seconds: float | None = None
    model: str = ""
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PrefixBlock, ...] = ()
    length_hint: int | None = None
    data_centre: str = ""
    may_return: bool = False
    may_repeat: bool = False
    digest: str = ""

    @property
    def expected_tokens_out(self) -> int:
        """The caller's estimate of the answer's length, or the most that it allows."""
        if self.length_hint is None:
            return self.tokens_out
        return min(self.length_hint, self.tokens_out) or self.length_hint


def encode(descriptor: Descriptor) -> list:
    """Return the descriptor as a list of plain values in the order of its fields."""
    encoded = [
        getattr(descriptor, field.name) for field in dataclasses.fields(Descriptor)
    ]
    encoded[PARTS_INDEX] = [[part.identity, part.tokens] for part in descriptor.parts]
    return encoded


def decode(encoded: list) -> Descriptor:
    """Return the descriptor of plain values; raise ``ValueError`` if invalid."""
    try:
        found = Descriptor(*encoded)
        parts = tuple(PrefixBlock(identity, tokens) for identity, tokens in found.parts)
    except TypeError as error:
        raise ValueError(f"invalid request descriptor: {encoded!r}") from error
    return dataclasses.replace(found, parts=parts)


PARTS_INDEX = [field.name for field in dataclasses.fields(Descriptor)].index("parts")
