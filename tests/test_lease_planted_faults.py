"""Faults planted in the lease state machines are caught by the oracle of the virtual world."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import pytest

from dunlinloft.fleet.leases.candidate import Candidate
from dunlinloft.fleet.leases.manager import LeaseManager
from dunlinloft.fleet.leases.messages import PrepareResponse
from dunlinloft.fleet.leases.voter import Voter
from lab.virtual.duties import LATE_SEEN_MS, World
from lab.virtual.scene import Broken
from tests.lease_world import OLD_TOKEN, TERM_MS, TWO_LEADERS, all_roles_led, partition, settled_world, storm


class HalfIsEnough(Candidate):
    def majority(self) -> int:
        return len(self._voters) // 2


class VotesWithoutMemory(Voter):
    def may_vote(self, now: float) -> bool:
        return True


class IgnoresDrift(LeaseManager):
    """Takes all clocks for equally fast."""

    def __init__(
        self, name: str, incarnation: int, voters: list[str], roles: list[str], rng: random.Random,
        wall_clock_ms: Callable[[], int], now: float, term_ms: float = TERM_MS, drift: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__(name, incarnation, voters, roles, rng, wall_clock_ms, now, term_ms, 0.0)


class ReusesTokens(Candidate):
    """Gives a token that has been given before."""

    def _handle_prepare_response(self, message: PrepareResponse, sender: str, now: float) -> None:
        message.token = 0
        self._wall_clock_ms = lambda: 1
        super()._handle_prepare_response(message, sender, now)


PLANTED_FAULTS: list[tuple[str, str, type, str]] = [
    ("a majority of n/2", "Candidate", HalfIsEnough, TWO_LEADERS),
    ("tokens not compared", "Candidate", ReusesTokens, OLD_TOKEN),
]


def violations(seeds: int, harsh: bool) -> set[str]:
    """What storms break, in words."""
    found = set()
    for seed in range(seeds):
        world = World(seed, members=9, voters=3)
        world.token_matters = not harsh
        try:
            storm(world, 25_000.0, harsh)
        except Broken as problem:
            found.add(TWO_LEADERS if TWO_LEADERS in str(problem) else OLD_TOKEN)
    return found


@pytest.mark.parametrize(
    ("what", "where", "broken", "seen"), PLANTED_FAULTS, ids=[row[0] for row in PLANTED_FAULTS]
)
def test_a_planted_fault_of_a_candidate_is_caught(
    what: str, where: str, broken: type, seen: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("dunlinloft.fleet.leases.manager." + where, broken)
    assert seen in violations(50, harsh=seen == TWO_LEADERS)


def test_where_all_voters_lose_their_memory_at_once_there_are_never_two_leaders() -> None:
    assert TWO_LEADERS not in violations(50, harsh=True)


def partition_leaders(core: type[LeaseManager]) -> None:
    """Holders that lose their voters, among clocks that differ by as much as is stated."""
    for seed in range(20):
        world = World(seed, members=6, voters=3, duties=2, drift=0.1, core=core)
        assert world.run(60_000.0, partial(all_roles_led, world)) < 60_000.0
        for duty in world.duties:
            partition(world, world.holders(duty), world.names)
            world.run(3.0 * TERM_MS)
            world.cut.clear()
            world.run(2.0 * TERM_MS)


def test_clock_drift_is_tolerated_and_a_manager_that_ignores_it_is_caught() -> None:
    partition_leaders(LeaseManager)
    with pytest.raises(Broken, match="is held by"):
        partition_leaders(IgnoresDrift)


def restart_voters_under_a_lease() -> None:
    """All voters forget while a holder holds, whom the other candidates take for gone."""
    for seed in range(8):
        world = settled_world(seed, voters=3)
        world.token_matters = False
        world.hand_over("d0", "m6")
        world.run(2.0 * TERM_MS)
        for holder in world.holders("d0"):
            partition(world, [holder], [name for name in world.names[3:] if name != holder], both=False)
        world.run(LATE_SEEN_MS / 2.0)
        for name in world.voters:
            world.kill(name)
            world.start(name)
        world.run(2.0 * TERM_MS)


def test_voters_that_restart_under_a_lease_are_tolerated_and_without_recovery_time_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    restart_voters_under_a_lease()
    monkeypatch.setattr("dunlinloft.fleet.leases.voting_member.Voter", VotesWithoutMemory)
    with pytest.raises(Broken, match=TWO_LEADERS):
        restart_voters_under_a_lease()
