"""Membership: properties of merging, simulated fleets with faults, and faults planted in the code."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import permutations
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership import local_member
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.membership.member import Member
from dunlinloft.fleet.membership.suspicion_timeout import suspicion_timeout_ms
from dunlinloft.fleet.membership.view import MAX_DEAD_RECORDS, View
from dunlinloft.fleet.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Gossip,
    Header,
    Record,
)
from lab.lines import LinkFault
from lab.virtual.fleet import Fleet
from lab.virtual.scene import InvariantViolation


def record(
    name: str,
    incarnation: int,
    revision: int,
    status: int,
    version: int,
    with_metadata: bool,
    suspecters: list[str],
) -> Record:
    """Build a record; metadata depends only on its version, and only suspicions have suspecters."""
    metadata: dict[str, Any] | None = {"n": f"{name}{incarnation}{version}"} if with_metadata else None
    suspected_by = suspecters if status == SUSPECT else []
    return Record(name, incarnation, revision, status, 7, "addr", version, metadata, suspected_by)


RECORDS = st.builds(
    record,
    st.sampled_from("ab"),
    st.integers(1, 3),
    st.integers(0, 3),
    st.integers(ALIVE, LEFT),
    st.integers(0, 3),
    st.booleans(),
    st.lists(st.sampled_from("uvwxyz"), unique=True, max_size=3),
)


def merged_view(records: list[Record]) -> dict[str, Any]:
    """Return the contents of a view after merging these records in order."""
    view = View(random.Random(0))
    for record in records:
        view.merge(record, 0.0)
    return {
        name: (
            m.precedence(),
            tuple(m.suspected_by),
            m.metadata_version if m.metadata_version >= 0 else None,
            tuple(m.metadata.items()),
        )
        for name, m in view.members.items()
    } | {"digest": view.digest}


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(RECORDS, max_size=6), st.randoms(use_true_random=False))
def test_merging_is_commutative_associative_and_idempotent(records: list[Record], rng: random.Random) -> None:
    shuffled = records + rng.sample(records, len(records) // 2)
    rng.shuffle(shuffled)
    assert merged_view(shuffled) == merged_view(records)


def test_the_newest_record_of_an_incarnation_wins_and_a_leave_is_final() -> None:
    records = [
        Record("a", 1, 0, ALIVE, 1),
        Record("a", 1, 0, SUSPECT, 1, suspected_by=["x"]),
        Record("a", 1, 0, DEAD, 1),
        Record("a", 1, 1, ALIVE, 1),
        Record("a", 1, 9, LEFT, 1),
        Record("a", 1, 10, ALIVE, 1),
    ]
    for order in permutations(records):
        view = View(random.Random(0))
        for record in order:
            view.merge(record, 0.0)
        assert view.members["a"].precedence() == (1, True, 9, LEFT)
        view.merge(Record("a", 2, 0, ALIVE, 2), 0.0)
        assert view.members["a"].is_alive()


def test_records_of_dead_members_are_bounded() -> None:
    view = View(random.Random(0))
    for n in range(MAX_DEAD_RECORDS + 50):
        view.merge(Record(f"m{n}", 1, 0, DEAD, 1), float(n))
    view.expire(1e6)
    assert len(view.members) == MAX_DEAD_RECORDS
    assert "m0" not in view.members


def test_suspicion_timeout_grows_with_the_fleet_and_falls_with_suspecters() -> None:
    for size in (10, 200, 1000):
        timeouts = [suspicion_timeout_ms(size, suspecters) for suspecters in range(1, 6)]
        assert timeouts == sorted(timeouts, reverse=True)
        assert timeouts[0] > 2.0 * timeouts[3] == 2.0 * timeouts[4]
    assert suspicion_timeout_ms(1000, 1) > suspicion_timeout_ms(100, 1) > suspicion_timeout_ms(10, 1)


# Simulated fleets


def agreed_fleet(size: int, seed: int, core: type[Membership] = Membership, **more: Any) -> Fleet:
    """Return a fleet whose members have all joined and have equal views."""
    fleet = Fleet(size, seed, core, at_once=True, **more)
    assert fleet.run(30_000.0, fleet.agreed) < 30_000.0
    return fleet


def assert_agreement(fleet: Fleet, limit_ms: float = 30_000.0) -> None:
    """Assert that all views match the actual state of the fleet within this time."""
    assert fleet.run(limit_ms, fleet.agreed) < limit_ms, f"no agreement, seed {fleet.seed}"


@pytest.mark.parametrize("seed", range(3))
def test_a_crash_is_known_to_all_and_nobody_else_is_declared_dead(seed: int) -> None:
    fleet = agreed_fleet(30, seed)
    incarnation = fleet.processes["n7"].core.incarnation
    fleet.kill("n7")
    assert fleet.run(20_000.0, lambda: fleet.knows_gone("n7", incarnation)) < 10_000.0
    assert_agreement(fleet)
    assert fleet.false_deaths == []


def test_views_agree_after_seven_in_ten_die_and_restart_together() -> None:
    fleet = agreed_fleet(30, 1)
    most = fleet.names[:21]
    for name in most:
        fleet.kill(name)
    fleet.run(1500.0)
    for name in most:
        fleet.start(name)
    assert_agreement(fleet)


def test_views_agree_after_two_restarts_within_one_suspicion() -> None:
    fleet = agreed_fleet(20, 2)
    for _ in range(2):
        fleet.kill("n3")
        fleet.run(150.0)
        fleet.start("n3")
        fleet.run(250.0)
    assert_agreement(fleet)


@pytest.mark.parametrize("hours", [-1.0, 1.0])
def test_a_restart_with_a_clock_that_jumped_is_the_newer_incarnation(hours: float) -> None:
    fleet = agreed_fleet(15, 3)
    fleet.kill("n4")
    fleet.run(200.0)
    fleet.wall_error["n4"] = hours * 3_600_000.0
    fleet.start("n4")
    assert_agreement(fleet)
    fleet.kill("n4")
    fleet.wall_error["n4"] = 0.0
    fleet.run(200.0)
    fleet.start("n4")
    assert_agreement(fleet)


@pytest.mark.parametrize("count", [2, 3])
def test_views_agree_after_a_partition_with_deaths_and_restarts(count: int) -> None:
    fleet = agreed_fleet(30, 4)
    sides = [fleet.names[n::count] for n in range(count)]
    partition = fleet.split(*sides)
    fleet.run(5_000.0)
    fleet.kill(sides[0][1])
    fleet.kill(sides[1][2])
    fleet.run(20_000.0)
    fleet.start(sides[1][2])
    fleet.run(5_000.0)
    assert not fleet.agreed()
    fleet.lines.remove_fault(partition)
    assert_agreement(fleet)


def test_a_broken_link_between_two_members_makes_no_false_death() -> None:
    fleet = agreed_fleet(20, 5)
    fleet.split(["n1"], ["n2"])
    fleet.run(30_000.0)
    assert fleet.false_deaths == []
    assert fleet.agreed()


def test_a_member_that_answers_streams_alone_is_not_declared_dead() -> None:
    fleet = agreed_fleet(15, 6)
    members = [name for name in fleet.names if name != "n2"]
    pairs = frozenset(("n2", name) for name in members)
    fleet.lines.add_fault(LinkFault(pairs, cut=True, datagrams_only=True))
    fleet.run(20_000.0)
    assert not [death for death in fleet.false_deaths if death[2] != "n2"]
    assert fleet.flaps["dead"] == 0


def test_a_stopped_member_rejoins_those_that_declared_it_dead() -> None:
    fleet = agreed_fleet(20, 7)
    fleet.stop("n5")
    fleet.run(10_000.0)
    assert fleet.flaps["dead"] >= 19
    fleet.cont("n5")
    assert_agreement(fleet, 10_000.0)
    assert fleet.false_deaths == []


def test_members_starved_of_processor_declare_no_healthy_member_dead() -> None:
    fleet = agreed_fleet(30, 8)
    for name in fleet.names[::5]:
        fleet.processes[name].starved = True
    fleet.run(40_000.0)
    assert fleet.false_deaths == []
    for name in fleet.names[::5]:
        fleet.processes[name].starved = False
    assert_agreement(fleet)


def test_loss_of_a_third_of_datagrams_makes_no_false_death() -> None:
    fleet = agreed_fleet(30, 9)
    fleet.lose(0.3, duplicate=0.1, reorder=0.2, jitter_ms=10.0)
    fleet.run(40_000.0)
    assert fleet.false_deaths == []


def test_old_datagrams_replayed_much_later_revive_no_dead_member() -> None:
    fleet = agreed_fleet(15, 10)
    fleet.record = []
    fleet.run(2_000.0)
    fleet.leave("n3")
    fleet.kill("n4")
    fleet.run(10_000.0)
    old = fleet.record
    fleet.record = None
    fleet.run(300_000.0)
    for n, (source, address, message) in enumerate(old):
        if message.header.name in ("n3", "n4") or n % 3 == 0:
            fleet.deliver(address, source, message)
    fleet.run(3_000.0)
    for process in fleet.living():
        assert not {"n3", "n4"} & {member.name for member in fleet.alive_members(process)}
    assert fleet.agreed()


def test_dead_seeds_are_retried_until_one_is_alive() -> None:
    fleet = Fleet(5, 11, at_once=True)
    fleet.run(1.0)
    for name in fleet.names[:3]:
        fleet.kill(name)
    fleet.run(10_000.0)
    fleet.start("n1")
    assert_agreement(fleet)


def test_a_name_conflict_is_counted_on_both_and_one_is_muted() -> None:
    fleet = agreed_fleet(12, 12)
    first = fleet.processes["n6"]
    fleet.run(2_000.0)
    second = fleet.start("n6", address="addr:elsewhere")
    fleet.run(10_000.0)
    flaps = sum(fleet.flaps.values())
    fleet.run(20_000.0)
    assert sum(fleet.flaps.values()) - flaps <= 12  # other members no longer see a conflict
    assert first.core.name_conflicts and second.core.name_conflicts
    assert (first.core.muted, second.core.muted) == (False, True)
    first.alive = False
    fleet.run(90_000.0)
    assert not second.core.muted  # the name is free again
    others = [process for process in fleet.living() if process is not second]
    assert all(process.core.view.members["n6"].address == "addr:elsewhere" for process in others)


# Faults planted in the code: the checks above fail without the mechanisms that they cover


class MembershipWithoutRefutation(Membership):
    def _handle_own_record(self, record: Record) -> None:
        """Refute no claims."""


class MembershipWithoutLocalHealth(Membership):
    def _handle_timer(self, token: int, now: float) -> None:
        self._timers[token] = replace(self._timers[token], due_ms=now)  # no timer counts as late
        super()._handle_timer(token, now)


class ViewIgnoringIncarnations(View):
    def merge(self, record: Record, now: float) -> tuple[Member, api.MemberChange]:
        member = self.members.get(record.name)
        if member is not None and record.status == ALIVE and not member.is_alive():
            member.incarnation = -1  # incarnations are not compared
        return super().merge(record, now)


@pytest.fixture
def plant_fault(monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[[str, Any], None]]:
    yield lambda name, value: monkeypatch.setattr(local_member, name, value)


def test_without_refutation_living_members_are_declared_dead() -> None:
    with pytest.raises(AssertionError):
        fleet = agreed_fleet(20, 13, MembershipWithoutRefutation)
        fleet.lose(0.3)
        fleet.run(40_000.0)
        assert fleet.false_deaths == []


def suspicions_by_starved_members(core: type[Membership]) -> int:
    """Return how often members without CPU time suspect healthy ones while datagrams are lost."""
    fleet = agreed_fleet(30, 8, core)
    starved = fleet.names[::5]
    for name in starved:
        fleet.processes[name].starved = True
    fleet.lose(0.2)
    before = {name: fleet.processes[name].core.suspicions_raised for name in starved}
    fleet.run(30_000.0)
    return sum(fleet.processes[name].core.suspicions_raised - before[name] for name in starved)


def test_without_local_health_starved_members_suspect_more() -> None:
    assert suspicions_by_starved_members(MembershipWithoutLocalHealth) > 3 * (
        suspicions_by_starved_members(Membership) + 1
    )


def test_where_incarnations_are_not_compared_old_datagrams_revive_the_dead(
    plant_fault: Callable[[str, Any], None],
) -> None:
    plant_fault("View", ViewIgnoringIncarnations)
    with pytest.raises(InvariantViolation):
        test_old_datagrams_replayed_much_later_revive_no_dead_member()


def test_a_record_of_unknown_status_is_ignored() -> None:
    member = Membership("n2", "addr:n2", [], 5, 5, random.Random(1))
    header = Header("n1", 1, 0, 0, 1)
    member.handle(api.MessageReceived(Gossip(header, [Record("n3", 1, 0, 9, 1)]), "addr:n1"), 0.0)
    assert "n3" not in member.view.members
