"""Membership: merging by its laws, the core under random orders, the hard cases, and planted faults."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import permutations
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinloft.fleet import interface as api
from dunlinloft.fleet import wire
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
    Ping,
    Record,
    State,
    estimated_size,
)
from lab.lines import Ill
from lab.virtual.fleet import Fleet
from lab.virtual.scene import Broken


def record(
    name: str, life: int, revision: int, status: int, version: int, told: bool, accusers: list[str]
) -> Record:
    """What one life says of its facts in one version is one thing; accusers are told with suspicions only."""
    facts: dict[str, Any] | None = {"n": f"{name}{life}{version}"} if told else None
    who = accusers if status == SUSPECT else []
    return Record(name, life, revision, status, 7, "addr", version, facts, who)


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


def believed(records: list[Record]) -> dict[str, Any]:
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
    assert believed(shuffled) == believed(records)


def test_the_newest_news_of_a_life_holds_and_nothing_follows_a_farewell() -> None:
    told = [
        Record("a", 1, 0, ALIVE, 1),
        Record("a", 1, 0, SUSPECT, 1, suspected_by=["x"]),
        Record("a", 1, 0, DEAD, 1),
        Record("a", 1, 1, ALIVE, 1),
        Record("a", 1, 9, LEFT, 1),
        Record("a", 1, 10, ALIVE, 1),
    ]
    for order in permutations(told):
        view = View(random.Random(0))
        for record in order:
            view.merge(record, 0.0)
        assert view.members["a"].precedence() == (1, True, 9, LEFT)
        view.merge(Record("a", 2, 0, ALIVE, 2), 0.0)
        assert view.members["a"].is_alive()


def test_what_is_kept_of_the_buried_is_bounded() -> None:
    view = View(random.Random(0))
    for n in range(MAX_DEAD_RECORDS + 50):
        view.merge(Record(f"m{n}", 1, 0, DEAD, 1), float(n))
    view.expire(1e6)
    assert len(view.members) == MAX_DEAD_RECORDS
    assert "m0" not in view.members


def test_suspicion_lasts_longer_in_large_fleets_and_shorter_with_accusers() -> None:
    for size in (10, 200, 1000):
        waits = [suspicion_timeout_ms(size, accusers) for accusers in range(1, 6)]
        assert waits == sorted(waits, reverse=True)
        assert waits[0] > 2.0 * waits[3] == 2.0 * waits[4]
    assert suspicion_timeout_ms(1000, 1) > suspicion_timeout_ms(100, 1) > suspicion_timeout_ms(10, 1)


# Bytes


def ping(records: int = 3) -> Ping:
    facts: dict[str, Any] = {"zone": "linz", "tier": 0.0, "draining": False}
    told = [
        Record(f"n{n}", 1_700_000_000_000 + n, n, SUSPECT, 2**56 + n, f"127.0.2.{n}:7400", 3, facts, ["n9"])
        for n in range(records)
    ]
    return Ping(Header("n1", 1_700_000_000_000, 4, 2**63 + 5, 200), 77, "n2", told)


@pytest.mark.parametrize("count", [0, 1, 3, 8])
def test_bytes_are_read_as_written_and_sizes_are_known_beforehand(count: int) -> None:
    link = wire.Wire("linz")
    data = link.write(ping(count))
    assert link.read(data) == ping(count)
    assert estimated_size(ping(count)) == pytest.approx(len(data), rel=0.25)


def test_a_datagram_stays_under_its_limit_and_a_state_under_its_cap(monkeypatch: pytest.MonkeyPatch) -> None:
    link = wire.Wire("linz")
    assert len(link.write(ping(100))) <= wire.MAX_DATAGRAM_BYTES
    monkeypatch.setattr(wire, "MAX_STATE_BYTES", 5000)
    state = State(ping().header, ping(300).records)
    data = link.write_state(state)
    assert len(data) <= 5000
    assert link.read_state(data).records


def test_a_later_versions_fields_are_skipped_and_what_is_not_ours_is_refused_by_its_reason() -> None:
    link, other = wire.Wire("linz"), wire.Wire("graz")
    data = link.write(ping())
    plain = msgspec.msgpack.decode(data[5:])
    longer = data[:5] + msgspec.msgpack.encode([*plain[:2], *plain[2:], "a field of a later version"])
    assert link.read(longer).header.name == "n1"
    bad = {
        b"": "short", data[:5]: "short", bytes([9]) + data[1:]: "version", other.write(ping()): "foreign",
        data + bytes(2000): "long", data[:-3]: "broken", data[:5] + b"\xc1": "broken",
        data[:5] + b"\x91" * 1300: "broken",
    }  # fmt: skip
    for received, reason in bad.items():
        with pytest.raises(wire.MessageRejected, match=reason):
            link.read(received)


def test_random_and_bent_bytes_never_do_more_than_be_refused() -> None:
    link, rng = wire.Wire("linz"), random.Random(4)
    member = Membership("n2", "addr:n2", [], 5, 5, random.Random(1))
    member.handle(api.Started(), 0.0)
    good = link.write(ping())
    read = 0
    for _ in range(3000):
        data = bytearray(good)
        data[rng.randrange(5, len(data))] = rng.randrange(256)
        end = len(data) if rng.random() < 0.8 else rng.randrange(len(data))
        try:
            message = link.read(bytes(data[:end]))
        except wire.MessageRejected:
            continue
        read += 1
        member.handle(api.MessageReceived(message, "addr:x"), 10.0)
    assert read > 50


# A fleet in virtual time


def settled(size: int, seed: int, core: type[Membership] = Membership, **more: Any) -> Fleet:
    fleet = Fleet(size, seed, core, at_once=True, **more)
    assert fleet.run(30_000.0, fleet.agreed) < 30_000.0
    return fleet


def heals(fleet: Fleet, limit_ms: float = 30_000.0) -> None:
    assert fleet.run(limit_ms, fleet.agreed) < limit_ms, f"no agreement, seed {fleet.seed}"


@pytest.mark.parametrize("seed", range(3))
def test_a_crash_is_known_to_all_and_nobody_else_is_buried(seed: int) -> None:
    fleet = settled(30, seed)
    life = fleet.processes["n7"].core.incarnation
    fleet.kill("n7")
    assert fleet.run(20_000.0, lambda: fleet.knows_gone("n7", life)) < 10_000.0
    heals(fleet)
    assert fleet.false_deaths == []


def test_seven_in_ten_die_and_return_together() -> None:
    fleet = settled(30, 1)
    herd = fleet.names[:21]
    for name in herd:
        fleet.kill(name)
    fleet.run(1500.0)
    for name in herd:
        fleet.start(name)
    heals(fleet)


def test_a_restart_under_the_same_name_twice_within_a_suspicion() -> None:
    fleet = settled(20, 2)
    for _ in range(2):
        fleet.kill("n3")
        fleet.run(150.0)
        fleet.start("n3")
        fleet.run(250.0)
    heals(fleet)


@pytest.mark.parametrize("hours", [-1.0, 1.0])
def test_a_restart_with_a_clock_that_jumped_is_the_newer_life_all_the_same(hours: float) -> None:
    fleet = settled(15, 3)
    fleet.kill("n4")
    fleet.run(200.0)
    fleet.wall_error["n4"] = hours * 3_600_000.0
    fleet.start("n4")
    heals(fleet)
    fleet.kill("n4")
    fleet.wall_error["n4"] = 0.0
    fleet.run(200.0)
    fleet.start("n4")
    heals(fleet)


@pytest.mark.parametrize("parts", [2, 3])
def test_a_split_heals_though_members_died_joined_and_restarted_meanwhile(parts: int) -> None:
    fleet = settled(30, 4)
    sides = [fleet.names[n::parts] for n in range(parts)]
    ill = fleet.split(*sides)
    fleet.run(5_000.0)
    fleet.kill(sides[0][1])
    fleet.kill(sides[1][2])
    fleet.run(20_000.0)
    fleet.start(sides[1][2])
    fleet.run(5_000.0)
    assert not fleet.agreed()
    fleet.lines.recover(ill)
    heals(fleet)


def test_a_partial_split_of_two_buries_nobody_whom_others_reach() -> None:
    fleet = settled(20, 5)
    fleet.split(["n1"], ["n2"])
    fleet.run(30_000.0)
    assert fleet.false_deaths == []
    assert fleet.agreed()


def test_who_loses_all_it_sends_but_answers_streams_is_not_buried() -> None:
    fleet = settled(15, 6)
    members = [name for name in fleet.names if name != "n2"]
    pairs = frozenset(("n2", name) for name in members)
    fleet.lines.fall_ill(Ill(pairs, cut=True, datagrams_only=True))
    fleet.run(20_000.0)
    assert not [death for death in fleet.false_deaths if death[2] != "n2"]
    assert fleet.flaps["dead"] == 0


def test_one_that_was_stopped_comes_back_among_members_that_have_buried_it() -> None:
    fleet = settled(20, 7)
    fleet.stop("n5")
    fleet.run(10_000.0)
    assert fleet.flaps["dead"] >= 19
    fleet.cont("n5")
    heals(fleet, 10_000.0)
    assert fleet.false_deaths == []


def test_a_fifth_starved_of_processor_buries_nobody_that_is_well() -> None:
    fleet = settled(30, 8)
    for name in fleet.names[::5]:
        fleet.processes[name].starved = True
    fleet.run(40_000.0)
    assert fleet.false_deaths == []
    for name in fleet.names[::5]:
        fleet.processes[name].starved = False
    heals(fleet)


def test_loss_of_a_third_buries_nobody() -> None:
    fleet = settled(30, 9)
    fleet.lose(0.3, duplicate=0.1, reorder=0.2, jitter_ms=10.0)
    fleet.run(40_000.0)
    assert fleet.false_deaths == []


def test_old_datagrams_replayed_much_later_revive_nobody() -> None:
    fleet = settled(15, 10)
    fleet.record = []
    fleet.run(2_000.0)
    fleet.leave("n3")
    fleet.kill("n4")
    fleet.run(10_000.0)
    old, fleet.record = fleet.record, None
    fleet.run(300_000.0)
    for n, (source, address, message) in enumerate(old):
        if message.header.name in ("n3", "n4") or n % 3 == 0:
            fleet.deliver(address, source, message)
    fleet.run(3_000.0)
    for process in fleet.living():
        assert not {"n3", "n4"} & {member.name for member in fleet.there(process)}
    assert fleet.agreed()


def test_seeds_that_are_dead_at_a_join_are_asked_until_one_lives() -> None:
    fleet = Fleet(5, 11, at_once=True)
    fleet.run(1.0)
    for name in fleet.names[:3]:
        fleet.kill(name)
    fleet.run(10_000.0)
    fleet.start("n1")
    heals(fleet)


def test_two_machines_under_one_name_are_noted_on_both_and_settle() -> None:
    fleet = settled(12, 12)
    first = fleet.processes["n6"]
    fleet.run(2_000.0)
    second = fleet.start("n6", address="addr:elsewhere")
    fleet.run(10_000.0)
    flaps = sum(fleet.flaps.values())
    fleet.run(20_000.0)
    assert sum(fleet.flaps.values()) - flaps <= 12  # others see no quarrel any more
    assert first.core.name_conflicts and second.core.name_conflicts
    assert (first.core.muted, second.core.muted) == (False, True)
    first.alive = False
    fleet.run(90_000.0)
    assert not second.core.muted  # the name is free again
    others = [process for process in fleet.living() if process is not second]
    assert all(process.core.view.members["n6"].address == "addr:elsewhere" for process in others)


# Each check is checked: faults planted in the core


class NoRefutation(Membership):
    def _handle_own_record(self, record: Record) -> None:
        """Lets everything said of it stand."""


class NoHealth(Membership):
    def _handle_timer(self, token: int, now: float) -> None:
        self._timers[token] = replace(self._timers[token], due_ms=now)  # as if it were never late
        super()._handle_timer(token, now)


class Undead(View):
    def merge(self, record: Record, now: float) -> tuple[Member, api.MemberChange]:
        member = self.members.get(record.name)
        if member is not None and record.status == ALIVE and not member.is_alive():
            member.incarnation = -1  # incarnations are not compared
        return super().merge(record, now)


@pytest.fixture
def planted(monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[[str, Any], None]]:
    yield lambda name, value: monkeypatch.setattr(local_member, name, value)


def test_without_refutation_the_living_are_buried() -> None:
    with pytest.raises(AssertionError):
        fleet = settled(20, 13, NoRefutation)
        fleet.lose(0.3)
        fleet.run(40_000.0)
        assert fleet.false_deaths == []


def accused_by_the_starved(core: type[Membership]) -> int:
    """How often the starved accuse somebody who is well, while links lose datagrams."""
    fleet = settled(30, 8, core)
    starved = fleet.names[::5]
    for name in starved:
        fleet.processes[name].starved = True
    fleet.lose(0.2)
    before = {name: fleet.processes[name].core.suspicions_raised for name in starved}
    fleet.run(30_000.0)
    return sum(fleet.processes[name].core.suspicions_raised - before[name] for name in starved)


def test_without_local_health_the_starved_accuse_more() -> None:
    assert accused_by_the_starved(NoHealth) > 3 * (accused_by_the_starved(Membership) + 1)


def test_where_incarnations_are_not_compared_old_news_revives_the_dead(
    planted: Callable[[str, Any], None],
) -> None:
    planted("View", Undead)
    with pytest.raises(Broken):
        test_old_datagrams_replayed_much_later_revive_nobody()


def test_gossip_of_an_unknown_status_is_ignored() -> None:
    member = Membership("n2", "addr:n2", [], 5, 5, random.Random(1))
    head = Header("n1", 1, 0, 0, 1)
    member.handle(api.MessageReceived(Gossip(head, [Record("n3", 1, 0, 9, 1)]), "addr:n1"), 0.0)
    assert "n3" not in member.view.members
