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

RETRANSMIT_MS = 200.0  # initial retransmission timeout of a stream chunk; doubles with each loss
MAX_RETRANSMITS = 5
MAX_HELD_CHUNKS = 20_000  # chunks that a cut link holds back; further ones are dropped


@dataclass(slots=True)
class LinkFault:
    """A fault on some links; several faults on one link add up. Fields are those of the scenario's `Link`."""

    pairs: frozenset[tuple[str, str]]
    loss: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    rate_kbps: float = 0.0
    cut: bool = False
    refuse: bool = False
    datagrams_only: bool = False  # streams are not affected


class DirectedLink:
    """The link from one machine to another, in one direction."""

    __slots__ = (
        "_busy_until_ms", "_clock", "_held_chunks", "_jitter", "_random", "base_ms", "cut", "delay_ms",
        "duplicate", "jitter_ms", "loss", "rate_kbps", "refuse", "reorder", "stream_loss",
    )  # fmt: skip

    def __init__(self, base_ms: float, jitter: float, clock: Clock, seed: str) -> None:
        self.base_ms, self._jitter, self._clock, self._random = base_ms, jitter, clock, random.Random(seed)
        self._busy_until_ms = 0.0
        self._held_chunks: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.apply_faults([])

    def apply_faults(self, faults: list[LinkFault]) -> None:
        """Replace the active faults of this link."""
        self.loss = 1.0 - math.prod(1.0 - fault.loss * (not fault.cut) - fault.cut for fault in faults)
        faults = [fault for fault in faults if not fault.datagrams_only]
        self.stream_loss = 1.0 - math.prod(1.0 - fault.loss for fault in faults)
        self.delay_ms = sum(fault.delay_ms for fault in faults)
        self.jitter_ms = sum(fault.jitter_ms for fault in faults)
        self.duplicate = max((fault.duplicate for fault in faults), default=0.0)
        self.reorder = max((fault.reorder for fault in faults), default=0.0)
        self.rate_kbps = min((fault.rate_kbps for fault in faults if fault.rate_kbps), default=0.0)
        self.refuse = any(fault.refuse for fault in faults)
        self.cut = any(fault.cut for fault in faults)
        if not self.cut and self._held_chunks:
            held, self._held_chunks = self._held_chunks, []
            for callback, args in held:  # the sender retransmits some time after the link is restored
                self._clock.after(
                    self._transit_ms(0) + RETRANSMIT_MS * self._random.random(), callback, *args
                )

    def _transit_ms(self, size: int) -> float:
        """Return the transit time of `size` bytes."""
        delay_ms = self.base_ms * (1.0 + self._jitter * self._random.random()) + self.delay_ms
        if self.jitter_ms:
            delay_ms += self.jitter_ms * self._random.random()
        if self.rate_kbps:
            now = self._clock.now()
            self._busy_until_ms = max(self._busy_until_ms, now) + size / self.rate_kbps * 8.0
            delay_ms += self._busy_until_ms - now
        return delay_ms

    def datagram(self, size: int) -> list[float]:
        """Return the delays after which copies of a datagram arrive: none, one or several."""
        if self.cut or self.refuse:
            return []
        copies = 1 + (self.duplicate > 0.0 and self._random.random() < self.duplicate)
        times = []
        for _ in range(copies):
            if self.loss and self._random.random() < self.loss:
                continue
            delay_ms = self._transit_ms(size)
            if self.reorder and self._random.random() < self.reorder:
                # Later datagrams overtake it.
                delay_ms += self.base_ms + self.jitter_ms + 5.0 * self._random.random()
            times.append(delay_ms)
        return times

    def stream_ms(self, size: int) -> float:
        """Return the delay of a stream chunk, retransmissions included, on a link that is not cut."""
        delay_ms, retransmit_ms = self._transit_ms(size), RETRANSMIT_MS
        for _ in range(MAX_RETRANSMITS):
            if not self.stream_loss or self._random.random() >= self.stream_loss:
                break
            delay_ms, retransmit_ms = delay_ms + retransmit_ms, 2.0 * retransmit_ms
        return delay_ms

    def carry(self, size: int, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback` at the receiver when a stream chunk of `size` bytes has arrived there."""
        if self.cut:
            if len(self._held_chunks) < MAX_HELD_CHUNKS:
                self._held_chunks.append((callback, args))
            return
        self._clock.after(self.stream_ms(size), callback, *args)


class Links:
    """All links between machines, created on first use."""

    def __init__(
        self, names: Names, same_ms: float, cross_ms: float, jitter: float, clock: Clock, seed: int
    ) -> None:
        self._names, self._same_zone_ms, self._cross_zone_ms = names, same_ms, cross_ms
        self._jitter, self._clock, self._seed = jitter, clock, seed
        self._links: dict[tuple[str, str], DirectedLink] = {}
        self._faults: list[LinkFault] = []
        self.on_change: Callable[[], None] = lambda: None

    def between(self, source: str, target: str) -> DirectedLink:
        """Return the link from one machine to another; a server and its node share a machine."""
        link = self._links.get((source, target))
        if link is None:
            same_zone = CALLERS in (source, target) or self._names.zone(source) == self._names.zone(target)
            base = 0.5 * (self._same_zone_ms if same_zone else self._cross_zone_ms)
            link = DirectedLink(base, self._jitter, self._clock, f"{self._seed}{source}>{target}")
            self._links[source, target] = link
            link.apply_faults(self._faults_between(source, target))
        return link

    def rtt_ms(self, a: str, b: str) -> float:
        """Return the current round-trip time without jitter."""
        forward, backward = self.between(a, b), self.between(b, a)
        return forward.base_ms + forward.delay_ms + backward.base_ms + backward.delay_ms

    def _faults_between(self, source: str, target: str) -> list[LinkFault]:
        pair = machine(source), machine(target)
        return [fault for fault in self._faults if pair in fault.pairs]

    def add_fault(self, fault: LinkFault) -> None:
        """Add a fault to the links that it affects."""
        self._faults.append(fault)
        self._update_links(fault)

    def remove_fault(self, fault: LinkFault) -> None:
        """Remove a fault."""
        if fault in self._faults:
            self._faults = [other for other in self._faults if other is not fault]
            self._update_links(fault)

    def _update_links(self, fault: LinkFault) -> None:
        for (source, target), link in self._links.items():
            if (machine(source), machine(target)) in fault.pairs:
                link.apply_faults(self._faults_between(source, target))
        self.on_change()


def machine(name: str) -> str:
    """Return the machine on which a node or a server runs."""
    return name.partition("/")[0]
