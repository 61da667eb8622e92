"""Where keyed requests go: each key has a home among the groups, so a repeat needs nobody's memory.

A repeat of a call that may have run has to go to the group that the first went to, from whatever process.
So the first goes to the key's home, which all processes compute alike (rendezvous hashing, Thaler and
Ravishankar 1998, over groups that the configuration names). A process sends elsewhere only while the home
is out, and only after the others know that it may; then it tells which keys. Whoever cannot know refuses a
repeat, which is harmless, and counts it. Why that is safe: `docs/shared.md`.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from dataclasses import dataclass, field

from dunlinloft.fleet.shared_state.messages import Bindings
from dunlinloft.fleet.shared_state.store import DRIFT

FRESH_MS = 3_000.0  # pulses of more than half of those that count, no older: else it may be cut off
OUT_MS, BACK_MS = 800.0, 3_000.0  # a group has to be out, and fit again, for so long
OUT_SHARE = 0.3  # of its servers fit, below which a group is out
MOST_KEYS = 60  # bound away from home at a time; what would be more is refused


@dataclass(slots=True)
class Place:
    """Where a keyed request may go: a group; or nowhere, and why."""

    group: str
    why: str = ""


@dataclass(slots=True)
class _Elsewhere:
    """Another process that may send elsewhere, as far as it is known."""

    epoch: int  # the latest that is known of,
    read: int = -1  # and the latest whose bindings were read
    out: frozenset[str] = frozenset()
    keys: dict[int, tuple[str, float]] = field(default_factory=dict)  # group, and until when
    until_ms: float = 0.0  # it is remembered for so long


@dataclass(slots=True)
class Voices:
    """How long those who were heard may be counted on: when each one's pulse becomes too old.

    `acks` are of those whose pulse knows this process's epoch. This process itself is in neither.
    """

    fresh: list[float]
    acks: list[float]
    base: int  # how many count, this process too


def order(key: int, groups: list[str]) -> list[str]:
    """The groups in the order in which a key prefers them."""
    data = key.to_bytes(8, "big")
    return sorted(groups, key=lambda g: hashlib.blake2b(data + g.encode(), digest_size=8).digest())


def _most(ends: list[float], base: int) -> float:
    """Until when these, with this process, are more than half of those that count."""
    needed = base // 2  # others
    if not needed:
        return math.inf
    return sorted(ends, reverse=True)[needed - 1] if len(ends) >= needed else -math.inf


class Affinity:
    """One process's bindings, and what it knows of the others'."""

    def __init__(self, groups: list[str], window_ms: float) -> None:
        self.groups, self._window_ms = sorted(groups), window_ms
        self.epoch = 0
        self.out: dict[str, float] = {}  # groups announced as out, and from when keys may go elsewhere
        self._bad_since: dict[str, float] = {}
        self._fit_since: dict[str, float] = {}
        self.keys: dict[int, tuple[str, float]] = {}  # bound elsewhere by this process
        self.elsewhere: dict[tuple[str, int], _Elsewhere] = {}  # by name and life
        self.whole_ms = self.acked_ms = -math.inf  # until when more than half are heard, and know this epoch
        self.counts: Counter[str] = Counter()

    def place(self, key: int, again: bool, now: float) -> Place:
        """Where a request with this key goes; `again` where its caller has asked for it before."""
        home, *others = order(key, self.groups)
        mine = self.keys.get(key)
        if mine is not None:
            return Place(mine[0])
        if again:
            return self._again(key, home, now)
        if now < self.out.get(home, math.inf) or now >= self.acked_ms:
            return Place(home)  # it is not out, or others would not know
        return self._bind(key, home, others, now)

    def _again(self, key: int, home: str, now: float) -> Place:
        if now >= self.whole_ms:
            return self._no("cut off")
        for other in self.elsewhere.values():
            if key in other.keys:
                return Place(other.keys[key][0])
        for other in self.elsewhere.values():
            if home in other.out or other.read < other.epoch:
                return self._no("not told")
        return Place(home)

    def _bind(self, key: int, home: str, others: list[str], now: float) -> Place:
        fit = [group for group in others if group not in self._bad_since]
        if not fit:
            return Place(home)
        if len(self.keys) >= MOST_KEYS:
            return self._no("too many")
        self.keys[key] = fit[0], now + self._window_ms * (1.0 + DRIFT)
        self.counts["elsewhere"] += 1
        return Place(fit[0])

    def _no(self, why: str) -> Place:
        self.counts[why] += 1
        return Place("", why)

    # What is known of the groups and of the others

    def look(
        self, groups: dict[str, tuple[int, int]], voices: Voices, here: dict[str, int], now: float
    ) -> Bindings | None:
        """Take how the groups are (fit, of so many), whose voice can be counted on, who is there by life.

        What to tell, where it is new.
        """
        before = self.epoch, frozenset(self.keys)
        self.keys = {key: bound for key, bound in self.keys.items() if now < bound[1]}
        for (name, life), other in self.elsewhere.items():
            other.keys = {key: bound for key, bound in other.keys.items() if now < bound[1]}
            if here.get(name) == life and (other.out or other.read < other.epoch):
                other.until_ms = self._until(now)
        self.elsewhere = {who: other for who, other in self.elsewhere.items() if now < other.until_ms}
        self._watch(groups, now)
        self._count(voices, before[0] == self.epoch, now)
        return self.bindings(now) if before != (self.epoch, frozenset(self.keys)) else None

    def _count(self, voices: Voices, same: bool, now: float) -> None:
        self.whole_ms = _most(voices.fresh, voices.base)
        acked = _most(voices.acks, voices.base) if same else -math.inf
        if now >= acked:  # nobody is known to know: what was open is shut until all know again
            self.out = dict.fromkeys(self.out, math.inf)
        elif now >= self.acked_ms:
            # From now on each fresh pulse of one of these was written after it knew.
            ready = now + FRESH_MS * (1.0 + 2.0 * DRIFT)
            self.out = {group: min(at, ready) for group, at in self.out.items()}
        self.acked_ms = acked

    def bindings(self, now: float) -> Bindings:
        """What this process tells."""
        keys = [(key, group, int(until - now)) for key, (group, until) in self.keys.items()]
        return Bindings(self.epoch, sorted(self.out), keys)

    def _watch(self, groups: dict[str, tuple[int, int]], now: float) -> None:
        """Which groups are out, after some time, and which are back."""
        most = max((listed for _, listed in groups.values()), default=0)
        changed = False
        for group in self.groups:
            fit, _ = groups.get(group, (0, 0))
            if fit < OUT_SHARE * most:
                self._bad_since.setdefault(group, now)
                self._fit_since.pop(group, None)
            else:
                self._bad_since.pop(group, None)
                self._fit_since.setdefault(group, now)
            if group not in self.out and now - self._bad_since.get(group, now) >= OUT_MS:
                self.out[group], changed = math.inf, True
            elif group in self.out and now - self._fit_since.get(group, now) >= BACK_MS:
                del self.out[group]
                changed = True
        self.epoch += changed

    def told(self, name: str, life: int, says: Bindings, now: float) -> None:
        """Another's bindings have been read."""
        if not says.epoch:
            return
        other = self._of(name, life, says.epoch, now)
        if says.epoch >= other.read:
            other.read, other.out = says.epoch, frozenset(says.out)
            other.keys |= {key: (group, now + left * (1.0 + DRIFT)) for key, group, left in says.keys}

    def mentioned(self, name: str, life: int, epoch: int, now: float) -> None:
        """Somebody knows of an epoch of another's."""
        self._of(name, life, epoch, now)

    def _of(self, name: str, life: int, epoch: int, now: float) -> _Elsewhere:
        other = self.elsewhere.get((name, life))
        if other is None:
            other = self.elsewhere[name, life] = _Elsewhere(epoch, until_ms=self._until(now))
        if epoch > other.epoch:
            other.epoch, other.until_ms = epoch, self._until(now)
        return other

    def _until(self, now: float) -> float:
        return now + (self._window_ms + 2.0 * FRESH_MS) * (1.0 + 2.0 * DRIFT)

    def heard(self, here: dict[str, int]) -> list[tuple[str, int, int, bool]]:
        """Whose epochs are known here, former lives too, and which are there, for this process's pulse."""
        return [
            (name, life, other.epoch, here.get(name) == life)
            for (name, life), other in self.elsewhere.items()
        ]
