"""The oracle of the simulated world detects faults planted in the lease state machines."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import pytest

from dunlinloft.fleet.leases.candidate import Candidate
from dunlinloft.fleet.leases.manager import LeaseManager
from dunlinloft.fleet.leases.messages import PrepareResponse
from dunlinloft.fleet.leases.voter import Voter
from lab.virtual.duties import DEATH_DETECTION_MS, World
from lab.virtual.scene import InvariantViolation
from tests.lease_world import (
    OUTDATED_TOKEN,
    TERM_MS,
    TWO_LEADERS,
    all_roles_led,
    inject_random_faults,
    partition,
    world_with_leaders,
)


class CandidateWithHalfQuorum(Candidate):
    def majority(self) -> int:
        return len(self._voters) // 2


class VoterWithoutRecovery(Voter):
    def may_vote(self, now: float) -> bool:
        return True


class ManagerIgnoringDrift(LeaseManager):
    """Assumes that all clocks run at the same rate."""

    def __init__(
        self, name: str, incarnation: int, voters: list[str], roles: list[str], rng: random.Random,
        wall_clock_ms: Callable[[], int], now: float, term_ms: float = TERM_MS, drift: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__(name, incarnation, voters, roles, rng, wall_clock_ms, now, term_ms, 0.0)


class CandidateReusingTokens(Candidate):
    """Issues tokens that were issued before."""

    def _handle_prepare_response(self, message: PrepareResponse, sender: str, now: float) -> None:
        message.token = 0
        self._wall_clock_ms = lambda: 1
        super()._handle_prepare_response(message, sender, now)


PLANTED_FAULTS: list[tuple[str, str, type, str]] = [
    ("a majority of n/2", "Candidate", CandidateWithHalfQuorum, TWO_LEADERS),
    ("tokens not compared", "Candidate", CandidateReusingTokens, OUTDATED_TOKEN),
]


def violations(seeds: int, allow_memory_loss: bool) -> set[str]:
    """Return the invariants violated under random faults, as parts of the oracle's texts."""
    found = set()
    for seed in range(seeds):
        world = World(seed, members=9, voters=3)
        world.token_matters = not allow_memory_loss
        try:
            inject_random_faults(world, 25_000.0, allow_memory_loss)
        except InvariantViolation as error:
            found.add(TWO_LEADERS if TWO_LEADERS in str(error) else OUTDATED_TOKEN)
    return found


@pytest.mark.parametrize(
    ("fault", "class_name", "faulty_class", "expected_violation"),
    PLANTED_FAULTS,
    ids=[row[0] for row in PLANTED_FAULTS],
)
def test_a_planted_fault_of_a_candidate_is_caught(
    fault: str, class_name: str, faulty_class: type, expected_violation: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("dunlinloft.fleet.leases.manager." + class_name, faulty_class)
    assert expected_violation in violations(50, allow_memory_loss=expected_violation == TWO_LEADERS)


def test_where_all_voters_lose_their_memory_at_once_there_are_never_two_leaders() -> None:
    assert TWO_LEADERS not in violations(50, allow_memory_loss=True)


def partition_leaders(core: type[LeaseManager]) -> None:
    """Partition leaders from their voters while clock rates differ by the configured drift."""
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
    with pytest.raises(InvariantViolation, match="is held by"):
        partition_leaders(ManagerIgnoringDrift)


def restart_voters_under_a_lease() -> None:
    """Restart all voters while a leader is active that the other candidates believe to be dead."""
    for seed in range(8):
        world = world_with_leaders(seed, voters=3)
        world.token_matters = False
        world.hand_over("d0", "m6")
        world.run(2.0 * TERM_MS)
        for holder in world.holders("d0"):
            partition(
                world, [holder], [name for name in world.names[3:] if name != holder], both_directions=False
            )
        world.run(DEATH_DETECTION_MS / 2.0)
        for name in world.voters:
            world.kill(name)
            world.start(name)
        world.run(2.0 * TERM_MS)


def test_voters_that_restart_under_a_lease_are_tolerated_and_without_recovery_time_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    restart_voters_under_a_lease()
    monkeypatch.setattr("dunlinloft.fleet.leases.voting_member.Voter", VoterWithoutRecovery)
    with pytest.raises(InvariantViolation, match=TWO_LEADERS):
        restart_voters_under_a_lease()
