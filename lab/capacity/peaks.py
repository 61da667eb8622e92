"""Rare moments of a fleet in virtual time: a zone lost and back, a region cut off, all started anew."""

from __future__ import annotations

from collections.abc import Callable

from lab.capacity import sizes
from lab.capacity.model import Experiment, Figure
from lab.members import settled_fleet
from lab.virtual.duties import World
from lab.virtual.fleet import CORE, Fleet

LIMIT_MS, STEP_MS = 120_000.0, 1_000.0
CUT_MS = 300_000.0  # of a region; an hour is more of the same, as nothing but asking the dead goes on
MEMBERS, VOTERS, TAKEN_MS = 54, 5, 60_000.0


class Watched:
    """A fleet, and the most bytes that a member sent in a second on average since this was begun."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet, self._before, self.peak, self.passed = fleet, 0, 0.0, 0.0
        self.begin()

    def begin(self) -> None:
        """From now on."""
        self._step()
        self.peak = 0.0

    def _step(self) -> float:
        fleet = self._fleet
        sent = sum(fleet.bytes.values()) + sum(fleet.stream_bytes.values())
        grown, self._before = sent - self._before, sent
        return grown / max(1, len(fleet.living())) / (STEP_MS / 1000.0)

    def until(self, done: Callable[[], bool]) -> float:
        """Let time pass until something holds; how long that took, in s. The peak is of whole seconds."""
        start, took = self.passed, None
        while self.passed - start < LIMIT_MS:
            left = self._fleet.run(STEP_MS, done if took is None else None)
            if took is None and left < STEP_MS:
                took = self.passed + left - start
                self._fleet.run(STEP_MS - left)
            self.passed += STEP_MS
            self.peak = max(self.peak, self._step())
            if took is not None:
                break
        return (LIMIT_MS if took is None else took) / 1000.0


def _zone(members: int, seed: int) -> dict[str, float]:
    """A fifteenth of the members dies at once, and comes back a minute later."""
    fleet = settled_fleet(members, seed, CORE)
    lost = fleet.names[members // 3 : members // 3 + max(1, members // sizes.ZONES)]
    lives = {name: fleet.processes[name].core.incarnation for name in lost}
    watched = Watched(fleet)
    for name in lost:
        fleet.kill(name)
    known = watched.until(lambda: all(fleet.knows_gone(name, life) for name, life in lives.items()))
    gone = watched.peak
    fleet.run(60_000.0)
    watched.begin()
    for name in lost:
        fleet.start(name)
    back = watched.until(fleet.agreed)
    return {"known": known, "known_peak": gone, "back": back, "back_peak": watched.peak}


def _region(members: int, seed: int) -> dict[str, float]:
    """A fifth of the members is cut off, and the cut ends."""
    fleet = settled_fleet(members, seed, CORE)
    names = list(fleet.names)
    ill = fleet.split(names[: members // sizes.REGIONS], names[members // sizes.REGIONS :])
    fleet.run(CUT_MS)
    fleet.lines.remove_fault(ill)
    watched = Watched(fleet)
    return {"agreed": watched.until(fleet.agreed), "peak": watched.peak}


def _restart(members: int, seed: int) -> dict[str, float]:
    """All members die and start anew at once."""
    fleet = settled_fleet(members, seed, CORE)
    for name in fleet.names:
        fleet.kill(name)
    watched = Watched(fleet)
    for name in fleet.names:
        fleet.start(name)
    return {"agreed": watched.until(fleet.agreed), "peak": watched.peak}


def _third(duties: int, seed: int) -> dict[str, float]:
    """Of the control machines a third dies at once, two of five voters and all of the holders it had."""
    world = World(seed, MEMBERS, VOTERS, duties)
    world.run(20_000.0)
    lost = world.names[: VOTERS // 2] + world.names[-(MEMBERS // 3 - VOTERS // 2) :]
    for name in lost:
        world.kill(name)
    held = world.run(TAKEN_MS, lambda: all(world.holders(duty) for duty in world.duties))
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
