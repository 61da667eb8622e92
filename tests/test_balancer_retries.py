"""Rules 1, 2, 5 and 6, back-off and time-outs: what may be sent again, when, and how a request ends."""

from __future__ import annotations

import pytest

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.averages import SlidingWindowCounter
from dunlinloft.balancer.interface import Result
from tests.helpers import Node, final_answers, sends, timers, try_send


def test_a_retry_backs_off_and_goes_to_another_server() -> None:
    node = Node()
    node.request("a")
    [timer] = timers(node.complete("a", Result.ERROR))
    assert timer.delay_ms > 0
    [send] = sends(node.handle(api.TimerFired(timer.token), timer.delay_ms))
    assert send.server != node.sent["a"][0]


def test_back_off_doubles_with_jitter() -> None:
    # Without jitter, doubling waits line retries up after a common stall.
    firsts, seconds = [], []
    for seed in range(200):
        node = Node(seed=seed)
        node.request("a", ttl_ms=30_000.0)
        [first] = timers(node.complete("a", Result.ERROR))
        node.handle(api.TimerFired(first.token), first.delay_ms)
        [second] = timers(node.complete("a", Result.ERROR))
        firsts.append(first.delay_ms)
        seconds.append(second.delay_ms)
    assert sum(seconds) == pytest.approx(2.0 * sum(firsts), rel=0.1)
    assert max(firsts) > 2.0 * min(firsts)


def test_rule_1_a_time_out_at_the_deadline_is_answered_once() -> None:
    node = Node()
    node.request("a", "unsafe", 800.0)
    assert len(final_answers(node.complete("a", Result.TIMEOUT, 800.0))) == 1
    assert node.handle(api.ClientDisconnected("a")) == []


def test_rule_1_without_servers_a_request_still_ends_in_time() -> None:
    node = Node(servers=0)
    actions = node.request("a", ttl_ms=900.0)
    start = node.now
    while not final_answers(actions):
        [timer] = timers(actions)
        actions = node.handle(api.TimerFired(timer.token), timer.delay_ms)
    assert isinstance(final_answers(actions)[0], api.Reject)
    assert node.now - start < 900.0


def test_rule_1_nothing_is_sent_after_the_client_has_disconnected() -> None:
    node = Node()
    node.request("a")
    [timer] = timers(node.complete("a", Result.ERROR))
    node.handle(api.ClientDisconnected("a"))
    assert node.handle(api.TimerFired(timer.token), timer.delay_ms) == []


def test_rule_2_non_idempotent_is_not_retried_once_it_may_have_run() -> None:
    for result in (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED):
        node = Node()
        node.request("a", "unsafe")
        assert final_answers(node.complete("a", result)) == [api.Fail("a")]


def test_rule_2_non_idempotent_is_retried_when_it_never_ran() -> None:
    node = Node()
    node.request("a", "unsafe")
    [timer] = timers(node.complete("a", Result.REJECTED))
    assert sends(node.handle(api.TimerFired(timer.token), timer.delay_ms))


def test_rule_2_keyed_stays_in_its_group() -> None:
    for seed in range(20):
        node = Node(servers=8, seed=seed)
        node.request("a", "keyed")
        [timer] = timers(node.complete("a", Result.ERROR))
        [send] = sends(node.handle(api.TimerFired(timer.token), timer.delay_ms))
        assert send.server % 2 == node.sent["a"][0] % 2


def test_rule_2_keyed_is_not_sent_after_its_deduplication_window() -> None:
    node = Node()
    node.request("a", "keyed", ttl_ms=3000.0)
    actions = node.complete("a", Result.TIMEOUT, 1990.0)
    assert final_answers(actions) == [api.Fail("a")] and not timers(actions)


def test_the_gate_itself_keeps_rules_1_and_2() -> None:
    node = Node(servers=4)
    node.request("out", "safe")
    assert not try_send(node, "out", 1)  # one is out already
    node.request("late", "safe", 400.0)
    node.complete("late", Result.ERROR, 100.0)
    node.now += 298.0
    assert not try_send(node, "late", 1)  # no time left
    node.request("keyed", "keyed")
    node.complete("keyed", Result.ERROR, 10.0)
    other = 1 - node.sent["keyed"][0] % 2
    assert not try_send(node, "keyed", other)  # another group
    node.now += 1995.0
    assert not try_send(node, "keyed", 1 - other)  # the window is over
    node.request("again", "safe")
    node.complete("again", Result.ERROR, 10.0)
    assert try_send(node, "again", 1)  # the gate does open


def test_rule_5_retries_stay_within_the_stated_budget() -> None:
    """Leiden's first score: 4 retries_sent attempts where 13 requests taken allow 3.4."""
    node = Node(8, retry_budget_ratio=0.1, retry_budget_floor=2.0, retry_budget_window_ms=5000.0)

    def retries_sent(count: int) -> int:
        """So many requests, of which each one's first attempt fails."""
        retries = 0
        for n in range(count):
            id = f"{node.now}-{n}"
            node.request(id)
            node.complete(id, Result.UNREACHABLE, 0.0)
            retries += try_send(node, id, n % 8)
        return retries

    assert retries_sent(9) == 2
    assert retries_sent(1) == 1  # the tenth request taken earns one
    node.now += 4990.0
    assert retries_sent(1) == 0  # within the window, whatever else is in it
    node.now += 20.0
    assert retries_sent(8) == 2  # the first have left it, and nine taken earn none


def test_a_sliding_window_that_is_never_read_drops_old_events() -> None:
    """case2060: a node kept a time for each of 1,025 retries, and more with every minute."""
    count = SlidingWindowCounter(1000.0)
    for n in range(500):
        count.add(100.0 * n)
    assert len(count._times_ms) == 11
    assert count.count(100.0 * 499) == 11


def test_without_a_stated_budget_retries_are_not_limited() -> None:
    node = Node(8)
    for n in range(20):
        node.request(f"{n}")
        node.complete(f"{n}", Result.UNREACHABLE, 0.0)
        assert try_send(node, f"{n}", 1)


def test_rule_6_a_rejection_is_no_proof_where_so_stated() -> None:
    node = Node(rejected_may_have_run=True)
    node.request("a", "unsafe")
    assert final_answers(node.complete("a", Result.REJECTED)) == [api.Fail("a")]
    node.request("b", "keyed")
    node.complete("b", Result.REJECTED, 10.0)
    assert not try_send(node, "b", 1 - node.sent["b"][0] % 2)  # it stays inside its group
    node.request("c", "unsafe")
    assert timers(node.complete("c", Result.UNREACHABLE))  # that is still a proof


def test_an_unserved_request_is_rejected_wherever_a_retry_is_harmless() -> None:
    """Leiden's days: what was turned away and could be asked again was failed, which promises nothing."""
    for cls, result, end in (
        ("safe", Result.ERROR, api.Reject),
        ("keyed_all", Result.ERROR, api.Reject),
        ("unsafe", Result.UNREACHABLE, api.Reject),
        ("keyed", Result.ERROR, api.Fail),
        ("unsafe", Result.ERROR, api.Fail),
    ):
        node = Node(max_attempts=1)
        node.request("a", cls)
        [answer] = final_answers(node.complete("a", result))
        assert isinstance(answer, end)


def test_a_stream_binds_its_request_to_one_attempt() -> None:
    node = Node()
    node.request("a")
    node.handle(api.StreamStarted("a", 0, node.sent["a"][0], 20.0))
    assert not sends(node.complete("a", Result.RESET, 50.0, final=True))


def test_an_attempt_times_out_no_sooner_than_the_node_may_be_late() -> None:
    node = Node()
    node.serve(100, delay_ms=0.5)  # eight times that is over before a busy machine looks again
    [send] = sends(node.request("next"))
    assert 100.0 <= send.timeout_ms < 200.0


def test_an_attempt_times_out_after_several_usual_delays() -> None:
    """i2750ee: calls to a lost zone waited out a whole deadline and filled the slots of the tier above."""
    node = Node(servers=4, tier=1, propagates_deadline=False)
    (early,) = sends(node.request("early"))
    assert early.timeout_ms > 2000.0  # nothing is usual yet
    node.complete("early", Result.SERVED)
    node.serve(100, delay_ms=50.0)
    (send,) = sends(node.request("lost"))
    assert 200.0 < send.timeout_ms < 600.0
    (other,) = sends(node.request("brief", ttl_ms=100.0))
    assert other.timeout_ms < 100.0
