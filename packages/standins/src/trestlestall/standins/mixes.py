"""The load tool's workloads: classes, workspaces, and seeded open-loop arrivals.

Pure. A mix defines the classes and the share of the demand of each. The demand of the
top tier is a fixed part of the engines' capacity; that of the lower tiers together is
``overload`` times the capacity during the burst. Arrivals are a Poisson process whose
rate does not depend on the responses (open loop), drawn from the seed alone.

The burst takes the middle eight tenths of the run. Before and after it, the demand of
the lower tiers is at most ``CALM_LOAD`` times the capacity.
"""

import dataclasses
import random
from collections import abc

from trestlestall.standins import prompts

MODEL = "m1"
BURST_START = 0.1
BURST_END = 0.9
CALM_LOAD = 0.3
PREFIX_CHARACTERS = 640


@dataclasses.dataclass(frozen=True)
class ClassMix:
    """A request class and its traffic; targets are in seconds from the arrival.

    ``demand`` is the class's share of the lower tiers' tokens, or for tier 0 its tokens
    as a share of the engines' capacity. ``long_share`` is the share of long answers.
    """

    name: str
    tier: int
    target: float
    first_token_target: float | None
    idempotent: bool
    floor: float
    demand: float
    long_share: float


@dataclasses.dataclass(frozen=True)
class WorkspaceMix:
    """A workspace and its share of the arrivals."""

    name: str
    share: float


@dataclasses.dataclass(frozen=True)
class Mix:
    """A workload: its classes and workspaces."""

    name: str
    classes: tuple[ClassMix, ...]
    workspaces: tuple[WorkspaceMix, ...]

    def find_class(self, name: str) -> ClassMix:
        """Return the class of the name."""
        return next(each for each in self.classes if each.name == name)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request, which arrives ``at`` seconds after the start."""

    number: int
    at: float
    workspace: str
    class_name: str
    prompt: prompts.Prompt
    text: str
    tokens: int

    @property
    def expected(self) -> str:
        """The complete and correct answer."""
        return prompts.write_answer(self.prompt, 0, self.tokens)


BASU = Mix(
    "basu",
    (
        ClassMix("breakdown", 0, 25.0, 2.0, True, 0.05, 0.4, 0.2),
        ClassMix("helpline", 1, 12.0, 4.0, True, 0.05, 0.5, 0.05),
        ClassMix("logs", 2, 40.0, None, True, 0.03, 0.3, 0.5),
        ClassMix("alerts", 3, 30.0, None, False, 0.02, 0.2, 0.0),
    ),
    (
        WorkspaceMix("bardhaman", 0.5),
        WorkspaceMix("katwa", 0.3),
        WorkspaceMix("kalna", 0.15),
        WorkspaceMix("memari", 0.05),
    ),
)
KRVODAR = Mix(
    "krvodar",
    (
        ClassMix("confirmations", 0, 5.0, None, False, 0.05, 0.3, 0.0),
        ClassMix("donors", 1, 10.0, 3.0, True, 0.05, 0.7, 0.05),
        ClassMix("recalls", 2, 60.0, None, True, 0.05, 0.3, 1.0),
    ),
    (
        WorkspaceMix("trnava", 0.6),
        WorkspaceMix("nitra", 0.3),
        WorkspaceMix("skalica", 0.1),
    ),
)
MIXES = {mix.name: mix for mix in (BASU, KRVODAR)}


def mean_tokens(class_mix: ClassMix) -> float:
    """Return the mean length of the class's answers in tokens."""
    short = sum(prompts.SHORT_LENGTHS) / 2
    long = sum(prompts.LONG_LENGTHS) / 2
    return short + class_mix.long_share * (long - short)


def make_arrivals(
    mix: Mix, seed: int, seconds: float, capacity: float, overload: float
) -> tuple[Arrival, ...]:
    """Return the arrivals of one run in order of time.

    ``capacity`` is the engines' tokens a second. The same arguments always give the
    same arrivals.
    """
    drafts = []
    for class_mix in mix.classes:
        source = random.Random(f"{seed}-{mix.name}-{class_mix.name}")
        for at in draw_times(class_mix, source, seconds, capacity, overload):
            drafts.append((at, class_mix, source.random(), source.random()))
    drafts.sort(key=lambda draft: draft[0])
    return tuple(
        make_arrival(mix, number, seed, *draft) for number, draft in enumerate(drafts)
    )


def draw_times(
    class_mix: ClassMix,
    source: random.Random,
    seconds: float,
    capacity: float,
    overload: float,
) -> abc.Iterator[float]:
    """Yield a class's arrival times, by thinning a Poisson process of the peak rate."""
    per_load = class_mix.demand * capacity / mean_tokens(class_mix)
    if class_mix.tier == 0:
        calm = burst = 1.0
    else:
        calm, burst = min(CALM_LOAD, overload), overload
    top = max(calm, burst)
    at = source.expovariate(per_load * top)
    while at < seconds:
        in_burst = BURST_START <= at / seconds < BURST_END
        if source.random() < (burst if in_burst else calm) / top:
            yield at
        at += source.expovariate(per_load * top)


def make_arrival(
    mix: Mix, number: int, seed: int, at: float, class_mix: ClassMix, a: float, b: float
) -> Arrival:
    """Return an arrival; ``a`` and ``b``, from 0 to 1, choose workspace and length."""
    source = random.Random(f"{seed}-{number}-{a}-{b}")
    workspace = choose_workspace(mix, a)
    is_long = b < class_mix.long_share
    low, high = prompts.LONG_LENGTHS if is_long else prompts.SHORT_LENGTHS
    tokens = source.randint(low, high)
    text = write_text(workspace, class_mix.name, number, tokens)
    prompt = prompts.make_prompt(MODEL, f"user: {text}")
    return Arrival(number, at, workspace, class_mix.name, prompt, text, tokens)


def choose_workspace(mix: Mix, point: float) -> str:
    """Return the workspace at a point from 0 to 1 of the cumulative shares."""
    for workspace in mix.workspaces:
        if point < workspace.share:
            return workspace.name
        point -= workspace.share
    return mix.workspaces[-1].name


def write_text(workspace: str, class_name: str, number: int, tokens: int) -> str:
    """Return a prompt with a prefix shared by its workspace and class."""
    phrase = f"Rules of {workspace} for {class_name}. "
    prefix = (phrase * (PREFIX_CHARACTERS // len(phrase) + 1))[:PREFIX_CHARACTERS]
    return f"{prefix} Request {number}. [length {tokens}]"
