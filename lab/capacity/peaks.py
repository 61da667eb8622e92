"""Rare events in a fleet in virtual time: zone loss and return, a regional partition, a full restart."""

from __future__ import annotations

from collections.abc import Callable

from lab.capacity import sizes
from lab.capacity.model import Experiment, Figure
from lab.members import settled_fleet
from lab.virtual.duties import World
from lab.virtual.fleet import CORE, Fleet

TIMEOUT_MS, STEP_MS = 120_000.0, 1_000.0
PARTITION_MS = (
    300_000.0  # partition of a region; longer ones add nothing, as only probes of dead members continue
)
MEMBERS, VOTERS, TAKEOVER_TIMEOUT_MS = 54, 5, 60_000.0


class PeakMeter:
    """A fleet with its peak traffic: the most bytes per member, on average over members, in one second."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet, self._before, self.peak, self.passed = fleet, 0, 0.0, 0.0
        self.begin()

    def begin(self) -> None:
        """Start measuring the peak from now on."""
        self._step()
        self.peak = 0.0

    def _step(self) -> float:
        fleet = self._fleet
        sent = sum(fleet.bytes.values()) + sum(fleet.stream_bytes.values())
        sent_in_step, self._before = sent - self._before, sent
        return sent_in_step / max(1, len(fleet.living())) / (STEP_MS / 1000.0)

    def until(self, done: Callable[[], bool]) -> float:
        """Run until `done` returns True; returns the time taken in s. The peak covers whole seconds."""
        start, taken_ms = self.passed, None
        while self.passed - start < TIMEOUT_MS:
            passed_ms = self._fleet.run(STEP_MS, done if taken_ms is None else None)
            if taken_ms is None and passed_ms < STEP_MS:
                taken_ms = self.passed + passed_ms - start
                self._fleet.run(STEP_MS - passed_ms)
            self.passed += STEP_MS
            self.peak = max(self.peak, self._step())
            if taken_ms is not None:
                break
        return (TIMEOUT_MS if taken_ms is None else taken_ms) / 1000.0


def _zone(members: int, seed: int) -> dict[str, float]:
    """Kill one fifteenth of the members at once and restart them a minute later."""
    fleet = settled_fleet(members, seed, CORE)
    lost = fleet.names[members // 3 : members // 3 + max(1, members // sizes.ZONES)]
    incarnations = {name: fleet.processes[name].core.incarnation for name in lost}
    meter = PeakMeter(fleet)
    for name in lost:
        fleet.kill(name)
    known = meter.until(
        lambda: all(fleet.knows_gone(name, incarnation) for name, incarnation in incarnations.items())
    )
    known_peak = meter.peak
    fleet.run(60_000.0)
    meter.begin()
    for name in lost:
        fleet.start(name)
    back = meter.until(fleet.agreed)
    return {"known": known, "known_peak": known_peak, "back": back, "back_peak": meter.peak}


def _region(members: int, seed: int) -> dict[str, float]:
    """Partition one fifth of the members, then end the partition."""
    fleet = settled_fleet(members, seed, CORE)
    names = list(fleet.names)
    partition = fleet.split(names[: members // sizes.REGIONS], names[members // sizes.REGIONS :])
    fleet.run(PARTITION_MS)
    fleet.lines.remove_fault(partition)
    meter = PeakMeter(fleet)
    return {"agreed": meter.until(fleet.agreed), "peak": meter.peak}


def _restart(members: int, seed: int) -> dict[str, float]:
    """Kill and restart all members at once."""
    fleet = settled_fleet(members, seed, CORE)
    for name in fleet.names:
        fleet.kill(name)
    meter = PeakMeter(fleet)
    for name in fleet.names:
        fleet.start(name)
    return {"agreed": meter.until(fleet.agreed), "peak": meter.peak}


def _third(duties: int, seed: int) -> dict[str, float]:
    """Kill a third of the control machines at once, including two of five voters and any role holders."""
    world = World(seed, MEMBERS, VOTERS, duties)
    world.run(20_000.0)
    lost = world.names[: VOTERS // 2] + world.names[-(MEMBERS // 3 - VOTERS // 2) :]
    for name in lost:
        world.kill(name)
    held = world.run(TAKEOVER_TIMEOUT_MS, lambda: all(world.holders(duty) for duty in world.duties))
    return {"held": held / 1000.0}


def _seconds(*names: str) -> tuple[Figure, ...]:
    return tuple(Figure(name, "B/s" if "peak" in name else "s") for name in names)


SIZES, TINY, SEEDS = (60, 120, 240), (15, 20, 30), (1, 2, 3)
EXPERIMENTS = (
    Experiment(
        "zone", "a zone dies and comes back (virtual time)", "members", sizes.SERVERS, SIZES, TINY, SEEDS,
        _seconds("known", "known_peak", "back", "back_peak"), _zone,
    ),
    Experiment(
        "region", "a region is cut off for five minutes (virtual time)", "members", sizes.SERVERS, SIZES,
        TINY, SEEDS, _seconds("agreed", "peak"), _region,
    ),
    Experiment(
        "restart", "all members start anew at once (virtual time)", "members", sizes.SERVERS, SIZES, TINY,
        SEEDS, _seconds("agreed", "peak"), _restart,
    ),
    Experiment(
        "third", f"a third of {MEMBERS} control machines dies (virtual time)", "duties", sizes.SERVICES,
        (2, 5, 10, 20), (1, 2, 3), SEEDS, _seconds("held"), _third, 40,
    ),
)  # fmt: skip
