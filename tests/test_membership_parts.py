"""Unit tests of membership components: update queue, name pool, local health, round trips, probes."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.membership.dissemination_queue import RETRANSMIT_MULTIPLIER, DisseminationQueue
from dunlinloft.fleet.membership.local_health import (
    LATE_TIMER_MS,
    MAX_SCORE,
    UNRELIABLE_AFTER_LATE_MS,
    LocalHealth,
)
from dunlinloft.fleet.membership.member import MAX_ACK_TIMEOUT_MS, MIN_ACK_TIMEOUT_MS, Member
from dunlinloft.fleet.membership.name_pool import NamePool
from dunlinloft.fleet.membership.probing import INDIRECT_PROBERS
from dunlinloft.fleet.messages import (
    ALIVE,
    DEAD,
    SUSPECT,
    Ack,
    Gossip,
    Header,
    Message,
    Nack,
    Ping,
    PingRequest,
    Record,
    State,
)


def record_of(name: str, include_metadata: bool) -> Record | None:
    """Return a record for any name except `unknown`."""
    if name == "unknown":
        return None
    return Record(name, 1, 0, ALIVE, 7, "addr", 1, {"zone": "linz"} if include_metadata else None)


# Update queue


@pytest.mark.parametrize("members", [1, 10, 200])
def test_an_update_is_sent_a_bounded_number_of_times(members: int) -> None:
    queue = DisseminationQueue()
    queue.add("a", members, include_metadata=False)
    sent = 0
    while queue.next_records(record_of):
        sent += 1
    assert sent == RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 2))
    assert len(queue) == 0


def test_updates_sent_least_often_go_first() -> None:
    queue = DisseminationQueue()
    queue.add("old", 10, include_metadata=False)
    queue.next_records(record_of)
    queue.add("new", 10, include_metadata=False)
    assert [record.name for record in queue.next_records(record_of)] == ["new", "old"]


def test_updates_of_unknown_members_are_dropped_and_records_beyond_the_size_wait() -> None:
    queue = DisseminationQueue()
    for name in ("unknown", "a", "b"):
        queue.add(name, 10, include_metadata=False)
    one = record_of("a", False)
    assert one is not None
    assert len(queue.next_records(record_of, one.estimated_size())) == 1
    assert len(queue) == 2


def test_metadata_is_sent_along_until_the_update_is_through() -> None:
    queue = DisseminationQueue()
    queue.add("a", 10, include_metadata=True)
    queue.add("a", 10, include_metadata=False)
    assert [record.metadata for record in queue.next_records(record_of)] == [{"zone": "linz"}]
    while queue.next_records(record_of):
        pass
    queue.add("a", 10, include_metadata=False)
    assert [record.metadata for record in queue.next_records(record_of)] == [None]


# Name pool


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.sampled_from("abcdefgh")), max_size=40), st.integers(0, 8))
def test_a_pool_holds_what_was_added_and_samples_different_names(
    changes: list[tuple[bool, str]], count: int
) -> None:
    pool = NamePool(random.Random(1))
    names: set[str] = set()
    for is_added, name in changes:
        if is_added:
            pool.add(name)
            names.add(name)
        else:
            pool.remove(name)
            names.discard(name)
    assert set(pool.names()) == names
    assert len(pool) == len(names)
    assert all((name in pool) == (name in names) for name in "abcdefgh")
    sample = pool.sample(count, exclude="a")
    assert len(set(sample)) == len(sample) == min(count, len(names - {"a"}))
    assert set(sample) <= names - {"a"}
    for name in sorted(names):
        pool.remove(name)
        names.discard(name)
        assert set(pool.names()) == names


def test_a_sample_of_a_large_pool_never_holds_the_excluded_name() -> None:
    pool = NamePool(random.Random(1))
    for number in range(12):
        pool.add(f"m{number}")
    samples = [pool.sample(3, exclude="m5") for _ in range(200)]
    assert all(len(set(sample)) == 3 and "m5" not in sample for sample in samples)
    assert set().union(*samples) == set(pool.names()) - {"m5"}


# Local health


def test_a_late_timer_lowers_health_and_makes_time_outs_unreliable_for_a_while() -> None:
    health = LocalHealth()
    assert health.timer_fired(100.0, 100.0 + LATE_TIMER_MS)
    assert health.is_reliable(200.0)
    assert not health.timer_fired(100.0, 101.0 + LATE_TIMER_MS)
    late_ms = 101.0 + LATE_TIMER_MS
    assert (health.score, health.multiplier()) == (1, 2.0)
    assert not health.is_reliable(late_ms + UNRELIABLE_AFTER_LATE_MS)
    assert health.is_reliable(late_ms + UNRELIABLE_AFTER_LATE_MS + 1.0)


def test_the_health_score_is_bounded_on_both_sides() -> None:
    health = LocalHealth()
    health.degrade(100)
    assert health.score == MAX_SCORE
    for _ in range(100):
        health.probe_succeeded()
    assert health.score == 0


# Round trips


@pytest.mark.parametrize(("rtt_ms", "timeout_ms"), [(0.1, MIN_ACK_TIMEOUT_MS), (5_000.0, MAX_ACK_TIMEOUT_MS)])
def test_ack_timeouts_follow_round_trips_within_bounds(rtt_ms: float, timeout_ms: float) -> None:
    member = Member("a", 0.0)
    for _ in range(100):
        member.observe_rtt(rtt_ms)
    assert member.smoothed_rtt_ms() == pytest.approx(rtt_ms, rel=0.01)
    assert member.ack_timeout_ms() == timeout_ms


# Probes


class MembershipDriver:
    """Drives a membership and its timers; the other members respond only when a test does so."""

    def __init__(self, *others: str) -> None:
        self.core = Membership("n1", "addr:n1", [], 5, 5, random.Random(1))
        records = [Record(name, 1, 0, ALIVE, 7, f"addr:{name}", 1, {}) for name in others]
        self.now = 0.0
        self.timers: list[tuple[float, int]] = []
        self.sent: list[tuple[str, Message]] = []
        self.streams: list[api.ProbeOverStream] = []
        self.core.handle(api.PushPullReceived(State(self.header(others[0]), records), "addr", False), 0.0)

    def header(self, name: str) -> Header:
        """Return a header from a member whose view agrees with this one."""
        return Header(name, 1, 0, self.core.digest(), self.core.alive_count())

    def perform(self, actions: list[api.Action]) -> None:
        """Record sent messages and timers."""
        for action in actions:
            match action:
                case api.SetTimer():
                    self.timers.append((self.now + action.delay_ms, action.token))
                case api.SendDatagram():
                    assert isinstance(action.message, Message)
                    self.sent.append((action.address, action.message))
                case api.ProbeOverStream():
                    self.streams.append(action)

    def probe(self, name: str) -> int:
        """Probe a member and return the probe's number."""
        self.core.actions = []
        number = self.core.prober.probe(name, self.now)
        self.perform(self.core.actions)
        return number

    def receive(self, message: Message) -> None:
        """Deliver a datagram from the member named in its header."""
        self.perform(self.core.handle(api.MessageReceived(message, f"addr:{message.header.name}"), self.now))

    def run(self, until_ms: float) -> None:
        """Fire timers in order at their due times."""
        while self.timers and min(self.timers)[0] <= until_ms:
            self.now, token = min(self.timers)
            self.timers.remove((self.now, token))
            self.perform(self.core.handle(api.TimerFired(token), self.now))
        self.now = until_ms

    def sent_of(self, kind: type[Message]) -> list[str]:
        """Return the addresses to which messages of a type were sent."""
        return [address for address, message in self.sent if isinstance(message, kind)]


def test_a_probe_without_an_ack_tries_other_members_and_a_stream_before_suspicion() -> None:
    driver = MembershipDriver("n2", "n3", "n4", "n5", "n6")
    driver.probe("n2")
    assert driver.sent_of(Ping) == ["addr:n2"]
    driver.run(MAX_ACK_TIMEOUT_MS)
    assert driver.sent_of(Ping) == ["addr:n2"] * 3
    assert len(set(driver.sent_of(PingRequest)) - {"addr:n2"}) == INDIRECT_PROBERS
    assert [action.address for action in driver.streams] == ["addr:n2"]
    driver.run(600.0)
    member = driver.core.view.members["n2"]
    assert (member.status, member.suspected_by) == (SUSPECT, ["n1"])


def test_the_target_of_a_probe_is_not_requested_to_ping_itself() -> None:
    driver = MembershipDriver("n2", "n3", "n4")
    driver.probe("n2")
    driver.run(MAX_ACK_TIMEOUT_MS)
    assert sorted(driver.sent_of(PingRequest)) == ["addr:n3", "addr:n4"]


@pytest.mark.parametrize(("nacks", "score"), [(0, 2), (1, 1), (2, 1)])
def test_missing_nacks_lower_local_health(nacks: int, score: int) -> None:
    driver = MembershipDriver("n2", "n3", "n4")
    number = driver.probe("n2")
    driver.run(150.0)
    for name in ("n3", "n4")[:nacks]:
        driver.receive(Nack(driver.header(name), number, []))
    driver.run(600.0)
    assert driver.core.health.score == score


def test_an_ack_by_any_path_ends_a_probe() -> None:
    driver = MembershipDriver("n2", "n3", "n4")
    number = driver.probe("n2")
    driver.run(150.0)
    assert driver.sent_of(PingRequest)
    driver.receive(Ack(driver.header("n3"), number, "n2", 1, []))
    driver.run(600.0)
    assert driver.core.view.members["n2"].status == ALIVE
    assert driver.core.health.score == 0


def test_an_ack_of_another_incarnation_ends_no_probe() -> None:
    driver = MembershipDriver("n2", "n3", "n4")
    number = driver.probe("n2")
    driver.receive(Ack(driver.header("n3"), number, "n2", 0, []))
    driver.run(600.0)
    assert driver.core.view.members["n2"].status == SUSPECT


def test_a_ping_request_is_answered_with_a_nack_and_a_later_ack_is_still_forwarded() -> None:
    driver = MembershipDriver("n2", "n3")
    driver.receive(PingRequest(driver.header("n3"), 41, "n2", "addr:n2", []))
    [(address, ping)] = [(address, sent) for address, sent in driver.sent if isinstance(sent, Ping)]
    assert (address, ping.target) == ("addr:n2", "n2")
    driver.run(200.0)
    assert [(address, sent.number) for address, sent in driver.sent if isinstance(sent, Nack)] == [
        ("addr:n3", 41)
    ]
    driver.receive(Ack(driver.header("n2"), ping.number, "n2", 1, []))
    [(address, ack)] = [(address, sent) for address, sent in driver.sent if isinstance(sent, Ack)]
    assert (address, ack.number, ack.target) == ("addr:n3", 41, "n2")


# Claims about other members and about the process itself


def test_a_suspicion_of_oneself_is_refuted_by_a_higher_revision() -> None:
    driver = MembershipDriver("n2", "n3")
    claim = Record("n1", 5, 0, SUSPECT, 5, "addr:n1", suspected_by=["n2"])
    driver.receive(Gossip(driver.header("n2"), [claim]))
    assert (driver.core.revision, driver.core.refutations) == (1, 1)


def test_a_sender_of_an_outdated_claim_is_sent_the_newer_record() -> None:
    driver = MembershipDriver("n2", "n3")
    refuted = Record("n3", 1, 4, ALIVE, 7, "addr:n3", 1)
    driver.receive(Gossip(driver.header("n2"), [refuted]))
    driver.sent.clear()
    driver.receive(Gossip(driver.header("n2"), [Record("n3", 1, 3, DEAD, 7, "addr:n3", 1)]))
    corrections = [sent for address, sent in driver.sent if isinstance(sent, Gossip) and address == "addr:n2"]
    assert [(r.name, r.revision, r.status) for sent in corrections for r in sent.records] == [
        ("n3", 4, ALIVE)
    ]
    assert driver.core.view.members["n3"].status == ALIVE


def test_a_reported_death_of_a_member_that_was_alive_is_a_suspicion() -> None:
    driver = MembershipDriver("n2", "n3")
    driver.receive(Gossip(driver.header("n2"), [Record("n3", 1, 0, DEAD, 7, "addr:n3", 1)]))
    assert driver.core.view.members["n3"].status == SUSPECT
