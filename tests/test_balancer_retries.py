"""Retries, back-off and timeouts, and how requests end; rules 1, 2, 5 and 6 of `tests.checker`."""

from __future__ import annotations

import pytest

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.averages import SlidingWindowCounter
from dunlinloft.balancer.interface import Result
from tests.helpers import Node, final_answers, sends, timers, try_send


def test_retry_backs_off_and_goes_to_another_server() -> None:
    node = Node()
    node.request("a")
    [timer] = timers(node.complete("a", Result.ERROR))
    assert timer.delay_ms > 0
    [send] = sends(node.handle(api.TimerFired(timer.token), timer.delay_ms))
    assert send.server != node.sent["a"][0]


def test_back_off_doubles_with_jitter() -> None:
    # Without jitter, retries of requests that failed together would stay synchronized.
    first_delays_ms, second_delays_ms = [], []
    for seed in range(200):
        node = Node(seed=seed)
        node.request("a", ttl_ms=30_000.0)
        [first] = timers(node.complete("a", Result.ERROR))
        node.handle(api.TimerFired(first.token), first.delay_ms)
        [second] = timers(node.complete("a", Result.ERROR))
        first_delays_ms.append(first.delay_ms)
        second_delays_ms.append(second.delay_ms)
    assert sum(second_delays_ms) == pytest.approx(2.0 * sum(first_delays_ms), rel=0.1)
    assert max(first_delays_ms) > 2.0 * min(first_delays_ms)


def test_rule_1_timeout_at_the_deadline_is_answered_once() -> None:
    node = Node()
    node.request("a", "unsafe", 800.0)
    assert len(final_answers(node.complete("a", Result.TIMEOUT, 800.0))) == 1
    assert node.handle(api.ClientDisconnected("a")) == []


def test_rule_1_request_is_answered_in_time_without_any_server() -> None:
    node = Node(servers=0)
    actions = node.request("a", ttl_ms=900.0)
    start = node.now
    while not final_answers(actions):
        [timer] = timers(actions)
        actions = node.handle(api.TimerFired(timer.token), timer.delay_ms)
    assert isinstance(final_answers(actions)[0], api.Reject)
    assert node.now - start < 900.0


def test_rule_1_no_retry_after_the_client_has_disconnected() -> None:
    node = Node()
    node.request("a")
    [timer] = timers(node.complete("a", Result.ERROR))
    node.handle(api.ClientDisconnected("a"))
    assert node.handle(api.TimerFired(timer.token), timer.delay_ms) == []


def test_rule_2_non_idempotent_request_is_not_retried_if_it_may_have_been_executed() -> None:
    for result in (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED):
        node = Node()
        node.request("a", "unsafe")
        assert final_answers(node.complete("a", result)) == [api.Fail("a")]


def test_rule_2_non_idempotent_request_is_retried_if_it_was_not_executed() -> None:
    node = Node()
    node.request("a", "unsafe")
    [timer] = timers(node.complete("a", Result.REJECTED))
    assert sends(node.handle(api.TimerFired(timer.token), timer.delay_ms))


def test_rule_2_keyed_request_is_retried_within_its_deduplication_group() -> None:
    for seed in range(20):
        node = Node(servers=8, seed=seed)
        node.request("a", "keyed")
        [timer] = timers(node.complete("a", Result.ERROR))
        [send] = sends(node.handle(api.TimerFired(timer.token), timer.delay_ms))
        assert send.server % 2 == node.sent["a"][0] % 2


def test_rule_2_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    node = Node()
    node.request("a", "keyed", ttl_ms=3000.0)
    actions = node.complete("a", Result.TIMEOUT, 1990.0)
    assert final_answers(actions) == [api.Fail("a")] and not timers(actions)


def test_send_itself_enforces_rules_1_and_2() -> None:
    node = Node(servers=4)
    node.request("in-flight", "safe")
    assert not try_send(node, "in-flight", 1)  # an attempt is in flight
    node.request("late", "safe", 400.0)
    node.complete("late", Result.ERROR, 100.0)
    node.now += 298.0
    assert not try_send(node, "late", 1)  # no time left
    node.request("keyed", "keyed")
    node.complete("keyed", Result.ERROR, 10.0)
    other = 1 - node.sent["keyed"][0] % 2
    assert not try_send(node, "keyed", other)  # another deduplication group
    node.now += 1995.0
    assert not try_send(node, "keyed", 1 - other)  # the deduplication window is over
    node.request("allowed", "safe")
    node.complete("allowed", Result.ERROR, 10.0)
    assert try_send(node, "allowed", 1)  # nothing prevents this one


def test_rule_5_retries_stay_within_the_budget() -> None:
    """Guards against a fault in which 4 retries were sent where 13 accepted requests allow 3.4."""
    node = Node(8, retry_budget_ratio=0.1, retry_budget_floor=2.0, retry_budget_window_ms=5000.0)

    def retries_sent(count: int) -> int:
        """Make `count` requests whose first attempts fail; return the number of retries sent."""
        retries = 0
        for n in range(count):
            id = f"{node.now}-{n}"
            node.request(id)
            node.complete(id, Result.UNREACHABLE, 0.0)
            retries += try_send(node, id, n % 8)
        return retries

    assert retries_sent(9) == 2
    assert retries_sent(1) == 1  # 10% of ten accepted requests is one retry
    node.now += 4990.0
    assert retries_sent(1) == 0  # the earlier retries are still in the window
    node.now += 20.0
    assert retries_sent(8) == 2  # they have left it, and 10% of nine requests is less than one


def test_sliding_window_that_is_never_read_drops_old_events() -> None:
    """A node without a retry budget stored a time for each of 1,025 retries, growing without limit.

    (Seen in case2060.)
    """
    counter = SlidingWindowCounter(1000.0)
    for n in range(500):
        counter.add(100.0 * n)
    assert len(counter._times_ms) == 11
    assert counter.count(100.0 * 499) == 11


def test_retries_are_not_limited_without_a_budget() -> None:
    node = Node(8)
    for n in range(20):
        node.request(f"{n}")
        node.complete(f"{n}", Result.UNREACHABLE, 0.0)
        assert try_send(node, f"{n}", 1)


def test_rule_6_rejected_request_may_have_been_executed_if_the_settings_say_so() -> None:
    node = Node(rejected_may_have_run=True)
    node.request("a", "unsafe")
    assert final_answers(node.complete("a", Result.REJECTED)) == [api.Fail("a")]
    node.request("b", "keyed")
    node.complete("b", Result.REJECTED, 10.0)
    assert not try_send(node, "b", 1 - node.sent["b"][0] % 2)  # it may only go to its group
    node.request("c", "unsafe")
    assert timers(node.complete("c", Result.UNREACHABLE))  # this was certainly not executed


def test_unserved_request_is_rejected_if_a_retry_is_safe() -> None:
    """A failure doesn't tell the client that it may retry; requests that were safe to retry used to fail."""
    for cls, result, expected in (
        ("safe", Result.ERROR, api.Reject),
        ("keyed_all", Result.ERROR, api.Reject),
        ("unsafe", Result.UNREACHABLE, api.Reject),
        ("keyed", Result.ERROR, api.Fail),
        ("unsafe", Result.ERROR, api.Fail),
    ):
        node = Node(max_attempts=1)
        node.request("a", cls)
        [answer] = final_answers(node.complete("a", result))
        assert isinstance(answer, expected)


def test_request_is_not_retried_once_its_response_streams() -> None:
    node = Node()
    node.request("a")
    node.handle(api.StreamStarted("a", 0, node.sent["a"][0], 20.0))
    assert not sends(node.complete("a", Result.RESET, 50.0, final=True))


def test_timeout_is_not_shorter_than_the_possible_lateness_of_the_node() -> None:
    node = Node()
    node.serve(100, delay_ms=0.5)  # a process on a busy machine may be delayed by more than eight times this
    [send] = sends(node.request("next"))
    assert 100.0 <= send.timeout_ms < 200.0


def test_attempt_times_out_after_several_usual_delays() -> None:
    """Calls to a failed zone waited until their deadline and occupied the slots of the tier above.

    (Seen in incident i2750ee.)
    """
    node = Node(servers=4, tier=1, propagates_deadline=False)
    (early,) = sends(node.request("early"))
    assert early.timeout_ms > 2000.0  # there is no usual delay yet
    node.complete("early", Result.SERVED)
    node.serve(100, delay_ms=50.0)
    (send,) = sends(node.request("lost"))
    assert 200.0 < send.timeout_ms < 600.0
    (other,) = sends(node.request("brief", ttl_ms=100.0))
    assert other.timeout_ms < 100.0
