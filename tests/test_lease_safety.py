"""Under any faults, at most one process leads a role at a time, and fencing tokens increase."""

from __future__ import annotations

import pytest

from dunlinloft.fleet.leases.messages import Prepare, ProposalNumber, Propose, ProposeResponse, TokensRequest
from dunlinloft.fleet.leases.voter import Voter
from lab.virtual.duties import World
from tests.lease_world import TERM_MS, all_roles_led, inject_random_faults, partition, world_with_leaders


@pytest.mark.parametrize("seed", range(25))
def test_under_random_faults_at_most_one_leads_and_tokens_increase(seed: int) -> None:
    world = World(seed, members=9, voters=(3, 5, 7)[seed % 3])
    inject_random_faults(world, 25_000.0)
    world.cut.clear()
    world.loss = 0.0
    for name, process in world.processes.items():
        if process.stopped:
            world.cont(name)
        if not process.alive:
            world.start(name)
    assert world.run(60_000.0, lambda: all_roles_led(world)) < 60_000.0, (
        f"seed {seed}: a role has no leader at the end"
    )


def test_a_leader_suspended_during_an_action_is_rejected_by_its_token() -> None:
    world = world_with_leaders(3)
    holder = world.holders("d0")[0]
    token = world.processes[holder].working["d0"]
    world.stop(holder)
    world.run(20_000.0)
    assert world.holders("d0") and world.holders("d0") != [holder]
    assert world.guard.rejected == 0
    world.cont(holder)  # its pending action is executed with the old token
    assert world.guard.rejected == 1
    assert not world.act("d0", token)
    assert world.holders("d0") != [holder]


def test_a_leader_partitioned_from_the_voters_stops_before_its_lease_expires() -> None:
    world = world_with_leaders(4)
    holder = world.holders("d0")[0]
    partition(world, [holder], world.voters)
    # The leader may be a voter itself, but one voter is no majority.
    assert world.run(2.0 * TERM_MS, lambda: holder not in world.holders("d0")) <= TERM_MS
    world.run(3.0 * TERM_MS)
    assert world.holders("d0") and world.holders("d0") != [holder]


def test_a_restart_of_the_entire_fleet_issues_higher_tokens() -> None:
    world = world_with_leaders(5)
    before = dict(world.tokens)
    for name in world.names:
        world.kill(name)
    world.run(500.0)
    for name in world.names:
        world.start(name)
        world.processes[name].wall_error_ms = 0.0  # only the wall clocks keep tokens increasing
    assert world.run(60_000.0, lambda: all_roles_led(world)) < 60_000.0
    assert all(world.tokens[duty] > before[duty] for duty in world.duties)


def test_a_restarted_voter_does_not_vote_until_granted_leases_have_expired() -> None:
    names = ["a", "b", "c"]
    voter, prepare = Voter("a", names, 1000.0, TERM_MS, 0.02), Prepare("d", ProposalNumber(1, "x", 1))
    for request in voter.recovery_requests():
        assert isinstance(request.message, TokensRequest)
        other = Voter(request.recipient, names, 0.0, TERM_MS, 0.02)
        voter.handle_tokens_response(other.tokens_response(request.message), request.recipient)
    assert voter.handle(prepare, 1000.0 + TERM_MS) is None
    assert voter.handle(prepare, 1000.0 + TERM_MS * 1.02) is not None
    answer = voter.handle(Propose("d", ProposalNumber(1, "x", 1), 2.0 * TERM_MS, 5, b""), 9e6)
    assert isinstance(answer, ProposeResponse) and not answer.accepted  # exceeds the recovery time
