"""Troubles of the control plane, as a schedule that is drawn from a seed and can be shortened.

Any of them may overlap with any other. What is never exceeded is the number of disks that are lost: a disk
counts as lost until everything has been up and connected for `SYNC_MS`. Times are in milliseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from lab.control.cluster import Cluster

SYNC_MS = 4_000.0  # a machine counts as lost for so long after it is back
GRACE_MS = 8_000.0
SLOW_X = 60.0

KINDS = (
    "kill",
    "power",
    "wipe",
    "freeze",
    "cut",
    "cut_all",
    "one_way",
    "split",
    "stall",
    "slow",
    "restart",
    "replace",
    "replace_planned",
    "kill_all",
    "power_all",
    "power_all_wipe",
    "behind",
    "relieve",
    "seeds",
)


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble: `pick` chooses among the machines that there are when it begins."""

    at_ms: float
    kind: str
    for_ms: float
    pick: int


def drawn(seed: int, length_ms: float, most: int) -> tuple[Trouble, ...]:
    """A schedule for a seed."""
    rng = random.Random(seed)
    troubles = [
        Trouble(
            rng.uniform(2_500.0, length_ms),
            rng.choice(KINDS),
            rng.uniform(50.0, 6_000.0),
            rng.getrandbits(16),
        )
        for _ in range(rng.randint(1, most))
    ]
    return tuple(sorted(troubles, key=lambda trouble: trouble.at_ms))


class Troubles:
    """Brings troubles about in a cluster, and ends them."""

    def __init__(self, cluster: Cluster, tolerance: int) -> None:
        self._cluster = cluster
        self._tolerance = tolerance
        self._lost_disks: list[float] = []  # when each was lost
        self._calm_since_ms = 0.0  # all up and connected; infinite while they aren't
        self._added = 0
        self._awaited = 0  # machines that are gone, and whose successors have not come yet
        cluster.after(100.0, self._watch)

    def _watch(self) -> None:
        """Follow since when all is well, and forget lost disks that have been made up for."""
        cluster = self._cluster
        well = (
            not cluster.cuts
            and not self._awaited
            and all(
                machine.gone or (machine.replica is not None and not machine.frozen and not machine.stalled)
                for machine in cluster.machines.values()
            )
        )
        if not well:
            self._calm_since_ms = float("inf")
        elif self._calm_since_ms == float("inf"):
            self._calm_since_ms = cluster.now
        if cluster.now - self._calm_since_ms >= SYNC_MS:
            self._lost_disks.clear()
        cluster.after(100.0, self._watch)

    def _counting(self) -> list[str]:
        return [m.address for m in self._cluster.machines.values() if m.counts and not m.gone]

    def _may_lose_disk(self) -> bool:
        if len(self._lost_disks) >= self._tolerance:
            return False
        self._lost_disks.append(self._cluster.now)
        self._calm_since_ms = float("inf")
        return True

    def begin(self, trouble: Trouble) -> None:
        """Bring it about now; it ends by itself."""
        counting = self._counting()
        address = counting[trouble.pick % len(counting)]
        end = self._act(trouble, address, counting)
        if end is not None:
            self._cluster.after(trouble.for_ms, end)

    def _act(self, trouble: Trouble, address: str, counting: list[str]) -> Callable[[], None] | None:
        cluster = self._cluster
        others = [other for other in counting if other != address]
        everybody = [m for m in cluster.machines if m != address]
        match trouble.kind:
            case "kill" | "power":
                (cluster.kill if trouble.kind == "kill" else cluster.power_off)(address)
                return lambda: self._start(address)
            case "wipe":
                return self._wipe(address)
            case "freeze":
                cluster.freeze(address)
                return lambda: cluster.thaw(address)
            case "cut":
                return self._cut([address], others)
            case "cut_all":
                return self._cut([address], everybody)
            case "one_way":
                return self._cut([address], others, both=bool(trouble.pick & 256))
            case "split":
                half = counting[: len(counting) // 2]
                return self._cut(half, [m for m in counting if m not in half])
            case "stall":
                cluster.stall(address, True)
                return lambda: cluster.stall(address, False)
            case "slow":
                return self._slow(address)
            case "restart":
                cluster.leave(address, GRACE_MS)
                return lambda: self._start(address)
            case "replace" | "replace_planned":
                return self._replace(address, trouble)
            case "kill_all" | "power_all" | "power_all_wipe":
                return self._all(trouble, address, counting)
            case "behind":
                return self._behind(address, others, trouble)
            case "relieve":
                return self._relieve(address, others)
            case "seeds":
                cluster.told = (address, *everybody[:1], "10.9.9.9:7000")
        return None

    def _start(self, address: str) -> None:
        machine = self._cluster.machines[address]
        if machine.replica is None and not machine.gone:
            self._cluster.start(address)

    def _start_all(self, addresses: list[str]) -> None:
        for address in addresses:
            self._start(address)

    def _kill_all(self, addresses: list[str]) -> None:
        for address in addresses:
            self._cluster.kill(address)

    def _wipe(self, address: str) -> Callable[[], None] | None:
        if not self._may_lose_disk():
            return None
        self._cluster.wipe(address)
        return lambda: self._start(address)

    def _cut(self, ones: list[str], others: list[str], both: bool = True) -> Callable[[], None]:
        pairs = [(one, other) for one in ones for other in others]
        for one, other in pairs:
            self._cluster.cut(one, other, both)

        def end() -> None:
            for one, other in pairs:
                self._cluster.uncut(one, other, both)

        return end

    def _slow(self, address: str) -> Callable[[], None]:
        machine = self._cluster.machines[address]
        machine.sync_x = SLOW_X

        def end() -> None:
            machine.sync_x = 1.0

        return end

    def _replace(self, address: str, trouble: Trouble) -> Callable[[], None] | None:
        """One is gone for good, an empty one comes at another address."""
        if not self._may_lose_disk():
            return None
        cluster = self._cluster
        self._added += 1
        newcomer = f"10.0.1.{self._added}:7000"
        if trouble.kind == "replace":
            cluster.remove(address)
            self._awaited += 1
            return lambda: self._come(newcomer)
        cluster.add(newcomer)

        def term() -> None:
            # It is gone 0.3 to 1 s after SIGTERM, whether it was done or not.
            cluster.leave(address, GRACE_MS)
            cluster.after(300.0 + trouble.pick % 700, lambda: cluster.remove(address))

        return term

    def _come(self, newcomer: str) -> None:
        self._awaited -= 1
        self._cluster.add(newcomer)

    def _all(self, trouble: Trouble, address: str, counting: list[str]) -> Callable[[], None]:
        cluster = self._cluster
        machines = [m.address for m in cluster.machines.values() if not m.gone]
        wiped = address if trouble.kind == "power_all_wipe" and self._may_lose_disk() else None
        for each in machines if trouble.pick & 512 else counting:
            if each == wiped:
                cluster.wipe(each)
            elif trouble.kind == "kill_all":
                cluster.kill(each)
            else:
                cluster.power_off(each)
        return lambda: self._start_all(machines)

    def _behind(self, address: str, others: list[str], trouble: Trouble) -> Callable[[], None]:
        """One misses changes; then another loses its disk, the rest are dark, and the cut heals."""
        heal = self._cut([address], others)

        def strike() -> None:
            wiped = others[trouble.pick % len(others)]
            lost = self._may_lose_disk()
            for other in others:
                (self._cluster.wipe if other == wiped and lost else self._cluster.power_off)(other)
            heal()
            self._cluster.after(trouble.for_ms, lambda: self._start_all(others))

        return strike

    def _relieve(self, address: str, others: list[str]) -> Callable[[], None]:
        """One misses changes; just after it is back, the others are killed."""
        heal = self._cut([address], others)

        def strike() -> None:
            heal()
            self._cluster.after(20.0, lambda: self._kill_all(others))
            self._cluster.after(900.0, lambda: self._start_all(others))

        return strike

    def end_all(self) -> None:
        """Everything works again."""
        cluster = self._cluster
        cluster.heal()
        for machine in list(cluster.machines.values()):
            machine.sync_x = 1.0
            if machine.frozen:
                cluster.thaw(machine.address)
            if machine.stalled:
                cluster.stall(machine.address, False)
            self._start(machine.address)
