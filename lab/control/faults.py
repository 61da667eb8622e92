"""Faults of the control plane, in schedules that are drawn from a seed and can be shrunk.

Faults may overlap. The number of lost disks never exceeds the tolerance: a disk counts as lost until
everything has been up and connected for `RESYNC_MS`. Times are in milliseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from dunlinloft.coordination.replica import Replica

RESYNC_MS = 4_000.0  # time without faults after which lost disks are replaced
GRACE_MS = 8_000.0  # from SIGTERM to the end of the process
MIN_DURATION_MS = 50.0  # of a fault
SYNC_SLOWDOWN = 60.0  # factor on the syncs of a slow disk


class FaultKind(StrEnum):
    """Kinds of faults. Their order determines the schedule of a seed."""

    KILL = "kill"
    POWER = "power"
    WIPE = "wipe"
    FREEZE = "freeze"
    PARTITION = "cut"
    PARTITION_FROM_ALL = "cut_all"
    ONE_WAY = "one_way"
    SPLIT = "split"
    STALL = "stall"
    SLOW = "slow"
    RESTART = "restart"
    REPLACE = "replace"
    REPLACE_PLANNED = "replace_planned"
    KILL_ALL = "kill_all"
    POWER_ALL = "power_all"
    POWER_ALL_WIPE = "power_all_wipe"
    BEHIND = "behind"
    RELIEVE = "relieve"
    SEEDS = "seeds"
    # For whole processes only (`lab.simulation`).
    FULL_DISK = "full_disk"
    NODE_KILL = "node_kill"
    NODE_FREEZE = "node_freeze"
    NODE_PARTITION = "node_cut"
    NODE_RESTART = "node_restart"
    MASS_KILL = "mass_kill"
    POWER_EVERYTHING = "power_everything"
    DAMAGE = "damage"
    DELAY = "delay"


ALL_FAULTS = tuple(FaultKind)
REPLICA_FAULTS = ALL_FAULTS[: ALL_FAULTS.index(FaultKind.SEEDS) + 1]


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; `pick` selects among the machines that exist when it begins."""

    at_ms: float
    kind: FaultKind
    for_ms: float
    pick: int

    def __str__(self) -> str:
        """Return the text that `dunlinloft world` prints, with the class's former name."""
        return (
            f"Trouble(at_ms={self.at_ms}, kind={self.kind.value!r}, for_ms={self.for_ms}, pick={self.pick})"
        )


@dataclass(frozen=True, slots=True)
class ScheduleBounds:
    """The bounds on a random schedule. Times in milliseconds."""

    first_ms: float  # no fault begins earlier
    last_ms: float  # no fault begins later
    max_duration_ms: float  # of one fault
    max_faults: int


def draw_schedule(
    seed: int, bounds: ScheduleBounds, kinds: tuple[FaultKind, ...] = REPLICA_FAULTS
) -> tuple[Fault, ...]:
    """Return the schedule of a seed: 1 to `bounds.max_faults` faults, sorted by time."""
    rng = random.Random(seed)
    faults = [
        Fault(
            rng.uniform(bounds.first_ms, bounds.last_ms),
            rng.choice(kinds),
            rng.uniform(MIN_DURATION_MS, bounds.max_duration_ms),
            rng.getrandbits(16),
        )
        for _ in range(rng.randint(1, bounds.max_faults))
    ]
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))


class FaultyMachine(Protocol):
    """The part of a machine that faults read and set."""

    sync_slowdown: float

    @property
    def address(self) -> str:
        """Address of the replica's internal listener."""

    @property
    def stateful(self) -> bool:
        """Whether it has a disk."""

    @property
    def removed(self) -> bool:
        """Whether it was removed permanently."""

    @property
    def frozen(self) -> bool:
        """Whether its process is suspended."""

    @property
    def stalled(self) -> bool:
        """Whether its disk is stalled."""

    @property
    def replica(self) -> Replica | None:
        """The running replica; None while its process is down."""


class FaultyCluster(Protocol):
    """The cluster interface that faults use; implemented by `lab.control.cluster.Cluster`."""

    configured_seeds: tuple[str, ...]

    @property
    def now(self) -> float:
        """Milliseconds since the start."""

    @property
    def machines(self) -> Mapping[str, FaultyMachine]:
        """Machines by address."""

    @property
    def disconnected(self) -> object:
        """True if any link is blocked."""

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action."""

    def start(self, address: str) -> None:
        """Start a process."""

    def add(self, address: str) -> None:
        """Add and start a machine with an empty disk."""

    def kill(self, address: str) -> None:
        """Kill a process."""

    def power_off(self, address: str) -> None:
        """Cut a machine's power."""

    def wipe(self, address: str) -> None:
        """End a process and lose its disk."""

    def remove(self, address: str) -> None:
        """Remove a machine permanently."""

    def freeze(self, address: str) -> None:
        """Suspend a process."""

    def thaw(self, address: str) -> None:
        """Resume a process."""

    def stall(self, address: str, stalled: bool) -> None:
        """Stall a disk, or let it continue."""

    def leave(self, address: str, grace_ms: float) -> None:
        """Send SIGTERM."""

    def disconnect(self, one: str, other: str, both: bool = True) -> None:
        """Block a link."""

    def reconnect(self, one: str, other: str, both: bool = True) -> None:
        """Undo one `disconnect`."""

    def heal(self) -> None:
        """Restore all links."""


class FaultInjector:
    """Injects faults into a cluster and ends them; never loses more disks than the tolerance."""

    def __init__(self, cluster: FaultyCluster, tolerance: int) -> None:
        self._cluster = cluster
        self._tolerance = tolerance
        self._lost_disks: list[float] = []  # time of each loss
        self._healthy_since_ms = 0.0  # start of the time without faults; infinite during faults
        self._added = 0
        self._pending_replacements = 0  # removed machines whose replacements have not been added yet
        cluster.after(100.0, self._track_health)

    def _track_health(self) -> None:
        """Update the start of the time without faults; clear lost disks after `RESYNC_MS`."""
        cluster = self._cluster
        healthy = (
            not cluster.disconnected
            and not self._pending_replacements
            and all(
                machine.removed
                or (machine.replica is not None and not machine.frozen and not machine.stalled)
                for machine in cluster.machines.values()
            )
        )
        if not healthy:
            self._healthy_since_ms = float("inf")
        elif self._healthy_since_ms == float("inf"):
            self._healthy_since_ms = cluster.now
        if cluster.now - self._healthy_since_ms >= RESYNC_MS:
            self._lost_disks.clear()
        cluster.after(100.0, self._track_health)

    def _stateful_addresses(self) -> list[str]:
        return [m.address for m in self._cluster.machines.values() if m.stateful and not m.removed]

    def _may_lose_disk(self) -> bool:
        if len(self._lost_disks) >= self._tolerance:
            return False
        self._lost_disks.append(self._cluster.now)
        self._healthy_since_ms = float("inf")
        return True

    def begin(self, fault: Fault) -> None:
        """Inject a fault now, and schedule its end."""
        stateful = self._stateful_addresses()
        address = stateful[fault.pick % len(stateful)]
        end = self._inject(fault, address, stateful)
        if end is not None:
            self._cluster.after(fault.for_ms, end)

    def _inject(self, fault: Fault, address: str, stateful: list[str]) -> Callable[[], None] | None:
        cluster = self._cluster
        others = [other for other in stateful if other != address]
        all_others = [m for m in cluster.machines if m != address]
        match fault.kind:
            case FaultKind.KILL | FaultKind.POWER:
                (cluster.kill if fault.kind == FaultKind.KILL else cluster.power_off)(address)
                return lambda: self._start(address)
            case FaultKind.WIPE:
                return self._wipe(address)
            case FaultKind.FREEZE:
                cluster.freeze(address)
                return lambda: cluster.thaw(address)
            case FaultKind.PARTITION:
                return self._partition([address], others)
            case FaultKind.PARTITION_FROM_ALL:
                return self._partition([address], all_others)
            case FaultKind.ONE_WAY:
                return self._partition([address], others, both=bool(fault.pick & 256))
            case FaultKind.SPLIT:
                half = stateful[: len(stateful) // 2]
                return self._partition(half, [m for m in stateful if m not in half])
            case FaultKind.STALL:
                cluster.stall(address, True)
                return lambda: cluster.stall(address, False)
            case FaultKind.SLOW:
                return self._slow(address)
            case FaultKind.RESTART:
                cluster.leave(address, GRACE_MS)
                return lambda: self._start(address)
            case FaultKind.REPLACE | FaultKind.REPLACE_PLANNED:
                return self._replace(address, fault)
            case FaultKind.KILL_ALL | FaultKind.POWER_ALL | FaultKind.POWER_ALL_WIPE:
                return self._fail_all(fault, address, stateful)
            case FaultKind.BEHIND:
                return self._lose_disk_after_partition(address, others, fault)
            case FaultKind.RELIEVE:
                return self._kill_others_after_partition(address, others)
            case FaultKind.SEEDS:
                cluster.configured_seeds = (address, *all_others[:1], "10.9.9.9:7000")
        return None

    def _start(self, address: str) -> None:
        machine = self._cluster.machines[address]
        if machine.replica is None and not machine.removed:
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

    def _partition(self, ones: list[str], others: list[str], both: bool = True) -> Callable[[], None]:
        pairs = [(one, other) for one in ones for other in others]
        for one, other in pairs:
            self._cluster.disconnect(one, other, both)

        def end() -> None:
            """Remove the partition."""
            for one, other in pairs:
                self._cluster.reconnect(one, other, both)

        return end

    def _slow(self, address: str) -> Callable[[], None]:
        machine = self._cluster.machines[address]
        machine.sync_slowdown = SYNC_SLOWDOWN

        def end() -> None:
            """Restore the disk's speed."""
            machine.sync_slowdown = 1.0

        return end

    def _replace(self, address: str, fault: Fault) -> Callable[[], None] | None:
        """Replace a machine permanently by one with an empty disk at another address."""
        if not self._may_lose_disk():
            return None
        cluster = self._cluster
        self._added += 1
        replacement = f"10.0.1.{self._added}:7000"
        if fault.kind == FaultKind.REPLACE:
            cluster.remove(address)
            self._pending_replacements += 1
            return lambda: self._add_replacement(replacement)
        cluster.add(replacement)

        def terminate() -> None:
            """Stop the old machine and remove it."""
            # Removed 0.3 to 1 s after SIGTERM, whether its shutdown had finished or not.
            cluster.leave(address, GRACE_MS)
            cluster.after(300.0 + fault.pick % 700, lambda: cluster.remove(address))

        return terminate

    def _add_replacement(self, replacement: str) -> None:
        self._pending_replacements -= 1
        self._cluster.add(replacement)

    def _fail_all(self, fault: Fault, address: str, stateful: list[str]) -> Callable[[], None]:
        cluster = self._cluster
        machines = [m.address for m in cluster.machines.values() if not m.removed]
        wiped = address if fault.kind == FaultKind.POWER_ALL_WIPE and self._may_lose_disk() else None
        for each in machines if fault.pick & 512 else stateful:
            if each == wiped:
                cluster.wipe(each)
            elif fault.kind == FaultKind.KILL_ALL:
                cluster.kill(each)
            else:
                cluster.power_off(each)
        return lambda: self._start_all(machines)

    def _lose_disk_after_partition(self, address: str, others: list[str], fault: Fault) -> Callable[[], None]:
        """Partition one machine; then wipe another, power off the rest and heal the partition.

        Only the partitioned machine, which missed changes, keeps running.
        """
        heal = self._partition([address], others)

        def fail_others() -> None:
            """Wipe one of the others, power off the rest, and heal the partition."""
            wiped = others[fault.pick % len(others)]
            lost = self._may_lose_disk()
            for other in others:
                (self._cluster.wipe if other == wiped and lost else self._cluster.power_off)(other)
            heal()
            self._cluster.after(fault.for_ms, lambda: self._start_all(others))

        return fail_others

    def _kill_others_after_partition(self, address: str, others: list[str]) -> Callable[[], None]:
        """Partition one machine; just after it is reconnected, kill the others."""
        heal = self._partition([address], others)

        def fail_others() -> None:
            """Heal the partition, kill the others and restart them later."""
            heal()
            self._cluster.after(20.0, lambda: self._kill_all(others))
            self._cluster.after(900.0, lambda: self._start_all(others))

        return fail_others

    def end_all(self) -> None:
        """End all faults: all machines run and all links work."""
        cluster = self._cluster
        cluster.heal()
        for machine in list(cluster.machines.values()):
            machine.sync_slowdown = 1.0
            if machine.frozen:
                cluster.thaw(machine.address)
            if machine.stalled:
                cluster.stall(machine.address, False)
            self._start(machine.address)
