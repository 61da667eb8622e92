"""Voters are changed one at a time while the fleet runs, and majorities always overlap."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from dunlinloft.fleet.leases.manager import LeaseManager
from dunlinloft.fleet.leases.messages import (
    Action,
    Event,
    MembershipObserved,
    MessageReceived,
    Prepare,
    Propose,
    VoterChangeRequested,
    WriteCompleted,
)
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE
from dunlinloft.fleet.leases.voters import VoterChange, VoterChangeStep
from lab.virtual.duties import World
from lab.virtual.scene import InvariantViolation
from tests.lease_world import (
    TWO_LEADERS,
    all_roles_led,
    has_recovered,
    inject_random_faults,
    partition,
    write_rows,
)


def change_voters(world: World, add: str = "", remove: str = "", duration_ms: float = 8_000.0) -> bool:
    """Request a change of voters; return whether it is adopted within this time."""
    before, end = max(world.epochs), world.now + duration_ms
    while max(world.epochs) == before and world.now < end:
        world.table_oracle.change(add, remove)
        world.run(100.0)
    return max(world.epochs) > before


def test_voters_change_one_by_one_under_random_faults_and_no_row_is_lost() -> None:
    changes = kept = 0
    for seed in range(10):
        world = World(seed, 8, 5 if seed % 2 else 3, duties=1, loss=0.05 * (seed % 3), ledger=True)
        world.run(8_000.0)
        for _ in range(6):
            inject_random_faults(world, 1_500.0)
            others = [name for name in world.names if name not in world.voters]
            if len(world.voters) <= 3 or world.rng.random() < 0.5:
                world.table_oracle.change(add=world.rng.choice(others))
            else:
                world.table_oracle.change(remove=world.rng.choice(world.voters))
            write_rows(world, 2_000.0)
            world.run(world.rng.choice((0.0, 3_000.0)))
        assert not world.table_oracle.losses
        changes, kept = changes + max(world.epochs), kept + world.table_oracle.kept
    assert changes > 15 and kept > 300, (changes, kept)


def test_all_voters_are_replaced_one_by_one_and_the_old_ones_may_leave() -> None:
    world = World(3, 8, 3, duties=1, ledger=True)
    assert world.run(20_000.0, lambda: world.table_oracle.openings > 0 and all_roles_led(world)) < 20_000.0
    for n in range(20):
        world.table_oracle.enter(f"row/{n}")
        world.run(50.0)
    before = dict(world.tokens)
    for old, new in zip(("m0", "m1", "m2"), ("m3", "m4", "m5"), strict=True):
        assert change_voters(world, add=new) and change_voters(world, remove=old)
    assert world.voters == ["m3", "m4", "m5"]
    world.run(5_000.0)
    for name in ("m0", "m1", "m2"):
        world.kill(name)
    world.kill("m3")  # it restarts with the old configuration, whose voters are all dead
    world.start("m3")
    assert world.run(30_000.0, lambda: has_recovered(world.processes["m3"])) < 30_000.0
    for name in ("m6", "m7"):
        world.kill(name)
    openings = world.table_oracle.openings
    for holder in world.holders(STATE_TABLE_ROLE):
        world.kill(holder)
        world.start(holder)
    assert (
        world.run(60_000.0, lambda: all_roles_led(world) and world.table_oracle.openings > openings)
        < 60_000.0
    )
    assert not world.table_oracle.losses and world.table_oracle.kept >= 20
    assert all(world.tokens[duty] >= before[duty] for duty in world.duties)


def test_an_impossible_change_of_voters_is_rejected_with_its_reason() -> None:
    world = World(4, 8, 3, duties=0, ledger=True)
    assert world.run(20_000.0, lambda: world.table_oracle.openings > 0) < 20_000.0
    core = world.processes[world.holders(STATE_TABLE_ROLE)[0]].core

    def rejection_of(add: str = "", remove: str = "") -> str:
        [completed] = [
            a
            for a in core.handle(VoterChangeRequested(add, remove, 9), world.now)
            if isinstance(a, WriteCompleted)
        ]
        return completed.rejection

    core.holds = lambda role, now: True  # type: ignore[method-assign]
    assert rejection_of() == rejection_of("m4", "m1") == "one voter is added or removed at a time"
    assert rejection_of("m1") == "m1 is a voter already" and rejection_of("m99") == "m99 is not a live member"
    assert rejection_of("", "m5") == "m5 is no voter"
    assert rejection_of("", "m1") == "the change would result in 2 voters; 3 to 7 are allowed"
    del core.holds
    assert change_voters(world, add="m4")
    [holder] = world.holders(STATE_TABLE_ROLE)
    assert "change 1" in world.processes[holder].core.voter_change_blocked_reason(
        world.processes[holder].clock()
    )


def remove_granting_voters(seed: int) -> None:
    """Remove the voters that granted a lease while its holder is partitioned from the change."""
    world = World(seed, 9, 5, duties=1, ledger=True)
    assert world.run(30_000.0, lambda: world.table_oracle.openings > 0 and all_roles_led(world)) < 30_000.0
    for duty, to in ((STATE_TABLE_ROLE, "m5"), ("d0", "m6")):
        world.hand_over(duty, to)
        world.run(6_000.0)
    partition(world, ["m6"], [name for name in world.names if name not in ("m0", "m1", "m2", "m6")])
    partition(world, ["m0", "m1"], [name for name in world.names if name not in ("m0", "m1", "m2", "m6")])
    world.run(4_000.0)
    if world.holders("d0") != ["m6"] or world.holders(STATE_TABLE_ROLE) != ["m5"]:
        return
    change_voters(world, remove="m0")
    if max(world.epochs) < 2:
        change_voters(world, remove="m1")
    partition(world, ["m2"], [name for name in world.names if name not in ("m0", "m1", "m2", "m6")])
    world.run(12_000.0)


def next_change_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        VoterChange, "check_complete", lambda self, table_complete, now: self.step is not VoterChangeStep.IDLE
    )


def two_voters_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        "dunlinloft.fleet.leases.manager.next_voters", lambda voters, add, remove, alive: ("m2", "m3", "m4")
    )


def epochs_not_compared(patch: pytest.MonkeyPatch) -> None:
    original = LeaseManager.handle

    def handle(self: LeaseManager, event: Event, now: float) -> list[Action]:
        if isinstance(event, MessageReceived) and isinstance(event.message, Prepare | Propose):
            event = MessageReceived(replace(event.message, voters_epoch=self.voters.epoch), event.sender)
        elif isinstance(event, MembershipObserved):
            event.voters = None  # gossip announces no voter set either, since safety must not depend on it
        return original(self, event, now)

    patch.setattr(LeaseManager, "handle", handle)


@pytest.mark.parametrize("plant", [next_change_at_once, two_voters_at_once, epochs_not_compared])
def test_majorities_that_do_not_overlap_are_caught(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    for seed in range(12):
        remove_granting_voters(seed)
    plant(monkeypatch)
    with pytest.raises(InvariantViolation, match=TWO_LEADERS):
        for seed in range(12):
            remove_granting_voters(seed)
