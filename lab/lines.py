"""Network links between machines, one object per direction, and the faults that apply to them.

A `DirectedLink` decides what happens to a datagram or to a chunk of a stream. Streams lose nothing for good:
a loss appears as a retransmission delay, and a cut holds all data back until it ends, as TCP does.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lab.names import CALLERS, Names
from lab.servers import Clock

REPEAT_MS = 200.0  # until a lost piece of a stream is sent again, doubling with each loss
REPEAT_MOST = 5
MOST_HELD = 20_000  # pieces that cut links hold back; beyond that the oldest are gone


@dataclass(slots=True)
class LinkFault:
    """What is wrong with some links; several add up. The figures are those of the scenario's `Link`."""

    pairs: frozenset[tuple[str, str]]
    loss: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    rate_kbps: float = 0.0
    cut: bool = False
    refuse: bool = False
    datagrams_only: bool = False  # streams pass as ever


class DirectedLink:
    """One direction between two machines."""

    __slots__ = (
        "_clock", "_free_ms", "_held", "_jitter", "_random", "base_ms", "cut", "delay_ms", "duplicate",
        "jitter_ms", "loss", "rate_kbps", "refuse", "reorder", "stream_loss",
    )  # fmt: skip

    def __init__(self, base_ms: float, jitter: float, clock: Clock, seed: str) -> None:
        self.base_ms, self._jitter, self._clock, self._random = base_ms, jitter, clock, random.Random(seed)
        self._free_ms = 0.0
        self._held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.apply_faults([])

    def apply_faults(self, ills: list[LinkFault]) -> None:
        """Suffer from these, and from nothing else, from now on."""
        self.loss = 1.0 - math.prod(1.0 - ill.loss * (not ill.cut) - ill.cut for ill in ills)
        ills = [ill for ill in ills if not ill.datagrams_only]
        self.stream_loss = 1.0 - math.prod(1.0 - ill.loss for ill in ills)
        self.delay_ms = sum(ill.delay_ms for ill in ills)
        self.jitter_ms = sum(ill.jitter_ms for ill in ills)
        self.duplicate = max((ill.duplicate for ill in ills), default=0.0)
        self.reorder = max((ill.reorder for ill in ills), default=0.0)
        self.rate_kbps = min((ill.rate_kbps for ill in ills if ill.rate_kbps), default=0.0)
        self.refuse = any(ill.refuse for ill in ills)
        self.cut = any(ill.cut for ill in ills)
        if not self.cut and self._held:
            held, self._held = self._held, []
            for do, args in held:  # the other side's repetition comes some time after the link is whole
                self._clock.after(self._pass(0) + REPEAT_MS * self._random.random(), do, *args)

    def _pass(self, size: int) -> float:
        """How long a piece of so many bytes is on its way."""
        took = self.base_ms * (1.0 + self._jitter * self._random.random()) + self.delay_ms
        if self.jitter_ms:
            took += self.jitter_ms * self._random.random()
        if self.rate_kbps:
            now = self._clock.now()
            self._free_ms = max(self._free_ms, now) + size / self.rate_kbps * 8.0
            took += self._free_ms - now
        return took

    def datagram(self, size: int) -> list[float]:
        """After which times a datagram arrives: never, once, or more often."""
        if self.cut or self.refuse:
            return []
        copies = 1 + (self.duplicate > 0.0 and self._random.random() < self.duplicate)
        times = []
        for _ in range(copies):
            if self.loss and self._random.random() < self.loss:
                continue
            took = self._pass(size)
            if self.reorder and self._random.random() < self.reorder:
                took += self.base_ms + self.jitter_ms + 5.0 * self._random.random()  # others overtake it
            times.append(took)
        return times

    def stream_ms(self, size: int) -> float:
        """How long a piece of a stream takes where the link is not cut."""
        took, again = self._pass(size), REPEAT_MS
        for _ in range(REPEAT_MOST):
            if not self.stream_loss or self._random.random() >= self.stream_loss:
                break
            took, again = took + again, 2.0 * again
        return took

    def carry(self, size: int, do: Callable[..., None], *args: Any) -> None:
        """Do something at the far end once a piece of a stream has come there."""
        if self.cut:
            if len(self._held) < MOST_HELD:
                self._held.append((do, args))
            return
        self._clock.after(self.stream_ms(size), do, *args)


class Links:
    """All links; made when they are first used."""

    def __init__(
        self, names: Names, same_ms: float, cross_ms: float, jitter: float, clock: Clock, seed: int
    ) -> None:
        self._names, self._same, self._cross = names, same_ms, cross_ms
        self._jitter, self._clock, self._seed = jitter, clock, seed
        self._lines: dict[tuple[str, str], DirectedLink] = {}
        self._ills: list[LinkFault] = []
        self.on_change: Callable[[], None] = lambda: None

    def between(self, source: str, target: str) -> DirectedLink:
        """The line from one machine to another; a server and its node are one machine."""
        line = self._lines.get((source, target))
        if line is None:
            near = CALLERS in (source, target) or self._names.zone(source) == self._names.zone(target)
            base = 0.5 * (self._same if near else self._cross)
            line = DirectedLink(base, self._jitter, self._clock, f"{self._seed}{source}>{target}")
            self._lines[source, target] = line
            line.apply_faults(self._for(source, target))
        return line

    def rtt_ms(self, a: str, b: str) -> float:
        """There and back as it is now, without chance."""
        there, back = self.between(a, b), self.between(b, a)
        return there.base_ms + there.delay_ms + back.base_ms + back.delay_ms

    def _for(self, source: str, target: str) -> list[LinkFault]:
        pair = machine(source), machine(target)
        return [ill for ill in self._ills if pair in ill.pairs]

    def add_fault(self, ill: LinkFault) -> None:
        """Have links suffer from something more."""
        self._ills.append(ill)
        self._renew(ill)

    def remove_fault(self, ill: LinkFault) -> None:
        """End that."""
        if ill in self._ills:
            self._ills = [other for other in self._ills if other is not ill]
            self._renew(ill)

    def _renew(self, ill: LinkFault) -> None:
        for (source, target), line in self._lines.items():
            if (machine(source), machine(target)) in ill.pairs:
                line.apply_faults(self._for(source, target))
        self.on_change()


def machine(name: str) -> str:
    """The machine that a node or a server is on."""
    return name.partition("/")[0]
