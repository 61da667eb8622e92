"""What a release is, as the ledger keeps it, as its steward orders it and as members count it."""

from __future__ import annotations

import re
from dataclasses import dataclass
from itertools import pairwise

import msgspec
from msgspec import Struct

ROW = "release"  # the key of the latest in the ledger
BAKING, PAUSED, HALTED, BACK, DONE, UNDONE = "baking", "paused", "halted", "back", "done", "undone"
ENDED = (DONE, UNDONE)
STAGES, BAKE_S = (0.01, 0.05, 0.25, 0.5, 1.0), 30.0
MOST_STAGES, MOST_NAMED, MOST_WHY = 8, 12, 90  # so that a plan fits a row of the ledger


class Plan(Struct, frozen=True, omit_defaults=True):
    """One release of servers: which are new, in which stages, and how far it is.

    New are the servers started at `since_ms` (Unix time) or later, or those `named`.
    `share` is the most of first sends that they get now; `by` and `why` are of the latest change.
    """

    id: int
    state: str
    stages: tuple[float, ...]
    bake_s: float
    stage: int = 0
    share: float = 0.0
    since_ms: float = 0.0
    named: tuple[str, ...] = ()
    by: str = ""
    why: str = ""
    at_s: int = 0  # Unix time of the latest change, for people

    def write(self) -> bytes:
        """As the ledger's value."""
        return msgspec.json.encode(self)


def read_plan(value: bytes) -> Plan | None:
    """The plan that a row says, if it says one."""
    try:
        return msgspec.json.decode(value, type=Plan)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class Order(Struct, array_like=True, gc=False, frozen=True):
    """What the steward of this token wants, the `step`-th time: no cohort gets more than its share."""

    token: int
    step: int
    id: int = 0  # of the release; 0: there is none
    share: float = 1.0
    since_ms: float = 0.0
    named: tuple[int, ...] = ()
    live: bool = False  # whether it is judged: all are to count
    back: bool = False  # it goes back, whatever a row of the ledger may still say

    def key(self) -> tuple[int, int]:
        """Of two orders the greater holds."""
        return self.token, self.step


NONE = Order(0, 0)


class Count(Struct, array_like=True, gc=False):
    """Of a class of requests and a zone of servers, since the release began.

    Calls that ended and those of them that failed; answers of warm servers, by the eighth of the old ones'
    times in which they came, the quickest first.
    """

    cls: int
    zone: int
    new: int
    new_failed: int
    new_times: list[int]
    old: int
    old_failed: int
    old_times: list[int]


EIGHTHS = 8


def no_count(cls: int, zone: int) -> Count:
    """Of which nothing has come yet."""
    return Count(cls, zone, 0, 0, [0] * EIGHTHS, 0, 0, [0] * EIGHTHS)


class Tally(Struct, array_like=True, gc=False):
    """What a member counts, the order that it obeys, and what its servers weigh: warm and in service."""

    order: Order
    tier: int
    counts: list[Count]
    new_weight: float
    old_weight: float
    restarts: int  # of new servers that it has seen start once more


# Starting one


@dataclass(slots=True)
class Wanted:
    """A release as operators ask for it."""

    since_ms: float = 0.0
    names: tuple[str, ...] = ()
    stages: tuple[float, ...] = STAGES
    bake_s: float = BAKE_S


class NotSo(ValueError):
    """What operators ask for can't be; says where and why in one line."""


def read_wanted(asked: dict[str, str]) -> Wanted:
    """A release from the words of a call: `since`, `names`, `stages` in percent, `bake` in seconds."""
    unknown = sorted(asked.keys() - {"since", "names", "stages", "bake", "by", "why"})
    if unknown:
        raise NotSo(f"{unknown[0]}: not known; since, names, stages, bake, by and why are")
    names = tuple(filter(None, (name.strip() for name in asked.get("names", "").split(","))))
    since = asked.get("since", "")
    if bool(names) == bool(since):
        raise NotSo("names or since: one of them says which servers are new")
    if len(names) > MOST_NAMED:
        raise NotSo(f"names: {len(names)} of them, and {MOST_NAMED} at most; say since when instead")
    since_ms = _number("since", since, "a Unix time in seconds") * 1000.0 if since else 0.0
    stages = _stages(asked["stages"]) if asked.get("stages") else STAGES
    bake = asked.get("bake", "").removesuffix("s")
    bake_s = _number("bake", bake, "seconds, as 30 or 30s") if bake else BAKE_S
    if not 1.0 <= bake_s <= 86_400.0:
        raise NotSo(f"bake: {bake_s:g} s, and 1 s to a day are possible")
    return Wanted(since_ms, names, stages, bake_s)


def _number(where: str, text: str, what: str) -> float:
    if not re.fullmatch(r"\d{1,12}(\.\d{1,6})?", text):
        raise NotSo(f"{where}: {text!r:.30} is not {what}")
    return float(text)


def _stages(text: str) -> tuple[float, ...]:
    stages = tuple(
        _number("stages", part.strip(), "percent, as in 1,5,25,50,100") for part in text.split(",")
    )
    if len(stages) > MOST_STAGES:
        raise NotSo(f"stages: {len(stages)} of them, and {MOST_STAGES} at most")
    if stages[-1] != 100.0 or any(a >= b for a, b in pairwise(stages)) or not stages[0]:
        raise NotSo(f"stages: {text!r:.40} must rise, from above 0 to 100")
    return tuple(stage / 100.0 for stage in stages)
