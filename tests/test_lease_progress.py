"""Vacant roles get leaders, roles with a leader stay in place, and roles are spread over members."""

from __future__ import annotations

from dunlinloft.fleet.leases.messages import MembershipObserved
from dunlinloft.fleet.leases.preference import preference_order
from lab.virtual.duties import World
from tests.lease_world import TERM_MS, all_roles_led, partition, world_with_leaders


def test_a_killed_leaders_role_is_led_again_after_the_lease() -> None:
    world = world_with_leaders(1)
    for _ in range(6):
        holder = world.holders("d0")[0]
        world.kill(holder)
        assert world.run(30_000.0, lambda: bool(world.holders("d0"))) < 3.0 * TERM_MS
        world.start(holder)
        world.run(8_000.0)


def test_a_planned_handover_takes_a_few_round_trips_and_transfers_the_state() -> None:
    world = world_with_leaders(2)
    holder = world.holders("d0")[0]
    process = world.processes[holder]
    process.core.candidates["d0"].state = b"what was done"
    to = next(name for name in world.names if name != holder)
    world.hand_over("d0", to)
    assert world.run(5_000.0, lambda: world.holders("d0") == [to]) < 1_000.0
    assert world.processes[to].core.candidates["d0"].state == b"what was done"


def test_without_a_majority_nobody_leads_and_the_reason_is_stated() -> None:
    world = world_with_leaders(6, members=6, voters=3)
    for name in world.voters[:2]:
        world.kill(name)
    world.run(3.0 * TERM_MS)
    assert not any(world.holders(duty) for duty in world.duties)
    reasons = {process.core.candidates["d0"].reason for process in world.processes.values() if process.alive}
    assert any("of 3 voters responded, and 2 are needed" in reason for reason in reasons)


def test_fifty_candidates_elect_one_leader() -> None:
    world = World(7, members=50, voters=5, duties=1)
    assert world.run(30_000.0, lambda: all_roles_led(world)) < 15_000.0


def test_flapping_links_do_not_move_a_role_back_and_forth() -> None:
    world = world_with_leaders(8)
    count = len(world.history)
    for _ in range(20):
        partition(world, [world.names[6]], world.voters)
        world.run(300.0)
        world.cut.clear()
        world.run(300.0)
    assert len(world.history) - count <= 2


def test_roles_spread_over_members_and_zones() -> None:
    names = [f"m{n}" for n in range(9)]
    zones = {name: "abc"[n % 3] for n, name in enumerate(names)}
    claims: dict[str, tuple[str, int]] = {}
    for place, duty in enumerate(("d1", "d2", "d3", "d4")):
        holder = preference_order(duty, MembershipObserved(frozenset(names), claims, True, zones), place)[0]
        claims[duty] = holder, 1
    holders = [holder for holder, _ in claims.values()]
    assert len(set(holders)) == 4 and {zones[holder] for holder in holders} == {"a", "b", "c"}
    busy = MembershipObserved(frozenset(names), claims, True, zones)
    assert preference_order("d5", busy)[0] not in holders
    assert set(preference_order("d5", busy)) == set(names)
