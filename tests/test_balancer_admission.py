"""Admission control at the tier that clients call: window, load shedding and priority."""

from __future__ import annotations

import math

import pytest

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.admission import RESERVED_SHARE
from dunlinloft.balancer.delay_controller import INITIAL_CALLS_PER_SERVER, TARGET_SHARE
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.latency_baseline import TARGET_SHARE_MAX
from tests.helpers import Node, entries, final_answers, sends, timers


def test_burst_at_first_tier_is_queued_and_rejected_in_time() -> None:
    # Without a limit, calls that their clients had given up on occupied all slots (incident i4cdd30).
    node = Node(servers=2)
    node.serve(200)
    for n in range(300):
        node.request(f"b{n}")
    in_flight = sum(s.in_flight for s in node.balancer.server_set.ready)
    assert in_flight < 100
    timers_set = [a for _, a in node.action_log if isinstance(a, api.SetTimer)]
    assert len(timers_set) >= 200
    rejected = 0
    for timer in timers_set:
        rejected += len(final_answers(node.handle(api.TimerFired(timer.token))))
    assert rejected >= 200


def test_deeper_tiers_do_not_limit_first_attempts_by_the_window() -> None:
    node = Node(servers=2, tier=1)
    node.serve(200)
    for n in range(300):
        node.request(f"b{n}")
    assert sum(s.in_flight for s in node.balancer.server_set.ready) == 300


def fill_window(node: Node) -> int:
    """Send calls of low value until one has to wait; return how many were sent."""
    n = 0
    while not timers(node.request(f"fill{n}")):
        n += 1
    return n


def stop_responding(node: Node, servers: set[int]) -> list[str]:
    """Fill the window, then let these servers stop responding; return the calls in flight to them."""
    ids = [f"fill{n}" for n in range(fill_window(node) + 1)]  # the last one waits
    for n in range(20):
        ids.append(f"lost{n}")
        node.request(ids[-1])
        while answered := [id for id in ids if id in node.sent and node.sent[id][0] not in servers]:
            ids.remove(answered[0])
            node.complete(answered[0], Result.SERVED, 25.0)  # this may send a queued call
    return [id for id in ids if id in node.sent]


@pytest.mark.parametrize(("unresponsive", "excluded"), [({0}, True), ({0, 1}, True), ({0, 1, 2}, False)])
def test_calls_stuck_at_unresponsive_servers_do_not_count_against_the_window(
    unresponsive: set[int], excluded: bool
) -> None:
    """Calls to a failed zone must not fill the windows.

    When they were counted, they took over half of each window, and half of all requests were rejected.
    """
    node = Node(servers=4)
    node.serve(200)
    stuck = len(stop_responding(node, unresponsive))
    window = node.balancer.controller.window(node.balancer.server_set.slice_size, node.now)
    admitted = 0
    while not timers(node.request(f"more{admitted}")):
        admitted += 1
    unreserved = math.ceil((1.0 - RESERVED_SHARE) * window)
    assert stuck >= 2 * len(unresponsive)
    if excluded:  # the responsive servers' part of the window is available
        assert admitted >= unreserved * (4 - len(unresponsive)) / 4 - 1.0
    else:
        assert admitted <= unreserved - stuck


def test_timeouts_at_unresponsive_servers_do_not_count_as_delay_of_the_tier() -> None:
    """Timeouts at a failed zone must not cause load shedding.

    When they were delay samples, half of the requests were shed for 10 s after the zone had recovered, with
    few calls in flight.
    """
    node = Node(servers=4)
    node.serve(200)
    shed_share = node.balancer.controller.shed_share(node.now)
    for id in stop_responding(node, {0}):
        node.complete(id, Result.TIMEOUT, 2000.0)
    assert node.balancer.controller.shed_share(node.now) == shed_share == 0.0
    slow = [f"slow{n}" for n in range(8)]
    for id in slow:
        node.request(id)
    for n, id in enumerate(slow):  # slow at all servers, so that this is the tier's delay
        node.complete(id, (Result.SERVED, Result.TIMEOUT)[n % 2], 800.0)
    assert node.balancer.controller.shed_share(node.now) > 0.0


def test_window_shrinks_with_the_available_capacity() -> None:
    """The window must shrink when a release restarts most servers.

    Without that, the four servers that were not in slow start got 25 calls each and were overloaded.
    """
    node = Node(servers=10)
    node.serve(400)
    admitted = fill_window(node)
    for n in range(admitted):
        node.complete(f"fill{n}", Result.SERVED, 0.0)
    restarted = entries(range(10, 16), started_ms=node.now)
    node.set_server_list([*entries(range(4)), *restarted], 2)
    admitted_after = 0
    while not timers(node.request(f"after{admitted_after}")):
        admitted_after += 1
    capacity_share = (4.0 + 6.0 * node.balancer.settings.slow_start_initial_share) / 10.0
    assert admitted_after == pytest.approx(capacity_share * admitted, abs=1.0)


def apply_load(node: Node, count: int, delay_ms: float) -> None:
    """Make `count` requests and serve those that are sent."""
    for _ in range(count):
        id = f"load-{node.now}"
        node.request(id)
        if id in node.sent:
            node.complete(id, Result.SERVED, delay_ms)
        node.now += 10.0


@pytest.mark.parametrize(("usual_ms", "delay_ms", "sheds"), [(450.0, 450.0, False), (250.0, 480.0, True)])
def test_delay_target_is_above_the_usual_delay(usual_ms: float, delay_ms: float, sheds: bool) -> None:
    """A fixed delay target must not cause shedding in a tier whose usual delay is close to it.

    With a usual delay of 0.41 to 0.45 of the latency target, all replicas shed because of a target of 0.4.
    """
    node = Node(servers=4)
    apply_load(node, 100, usual_ms)
    apply_load(node, 60, delay_ms)
    assert (node.balancer.controller.shed_share(node.now) > 0.0) is sheds
    assert (node.balancer.controller.target_share > TARGET_SHARE) is not sheds


def test_delay_target_of_a_tier_that_is_slow_from_the_start_is_bounded() -> None:
    node = Node(servers=4)
    apply_load(node, 1000, 900.0)
    assert node.balancer.controller.target_share == TARGET_SHARE_MAX
    assert node.balancer.controller.shed_share(node.now) > 0.0


def test_queued_requests_of_the_highest_value_are_sent_first() -> None:
    node = Node(servers=2)
    node.serve(200)
    n = fill_window(node)
    while sends(node.request(f"valuable{n}", "unsafe")):  # the rest of the window is reserved for this class
        n += 1
    sent = [send for k in range(5) for send in sends(node.complete(f"fill{k}", Result.SERVED, 1.0))]
    assert sent[0].id == f"valuable{n}"


def test_valuable_class_with_high_latency_has_lower_priority() -> None:
    """Priority is value per time: 1.5 times the value for twice the time is a worse use of a full tier."""
    node = Node(servers=2)
    node.serve(200)
    node.serve(200, "keyed_all", delay_ms=400.0)
    n = fill_window(node)
    node.request("slow", "keyed_all")
    sent: list[api.Send] = []
    for k in range(n):
        sent += sends(node.complete(f"fill{k}", Result.SERVED, 1.0))
    assert next(send.id for send in sent if send.id in (f"fill{n}", "slow")) == f"fill{n}"


def test_worst_served_class_is_not_starved_if_it_has_weight() -> None:
    """Strict priority by value served only 9% of the class of lower value in an overload."""

    def first_sent(worst_class_weight: float) -> str:
        node = Node(servers=2, worst_class_weight=worst_class_weight)
        node.serve(100)
        node.serve(100, "keyed_all")
        for n in range(20):
            node.request(f"f{n}")
            node.complete(f"f{n}", Result.ERROR, 1.0, final=False)
            node.handle(api.TimerFired(node.balancer._last_token), 3000.0)
        n = fill_window(node)
        node.request("valuable", "keyed_all")
        for k in range(n):
            sent = sends(node.complete(f"fill{k}", Result.SERVED, 1.0))
            if sent:
                return sent[0].id
        raise AssertionError("no queued call was sent")

    assert first_sent(0.0) == "valuable"
    assert first_sent(2.0).startswith("fill")


def test_part_of_the_window_is_reserved_for_the_class_of_the_highest_value() -> None:
    """Without a reserve, a fifth of the most valuable class was rejected while the other was admitted."""
    node = Node(servers=2)
    node.serve(200)
    node.serve(200, "unsafe")
    n = fill_window(node)
    assert sends(node.request("valuable", "unsafe"))
    window = node.balancer.controller.window(2.0, node.now)
    assert n < window <= n + 3


def test_requests_over_quota_are_sent_last() -> None:
    tenants = [api.Tenant("x", 0.5, 5.0), api.Tenant("y", 0.5, 5.0)]
    node = Node(servers=2, tenants=tenants, over_quota_value=0.05)
    node.serve(200)
    n = 0
    while not timers(node.request(f"b{n}", tenant="x")):
        n += 1
    for k in range(5):
        node.request(f"x{k}", tenant="x")
    node.request("within-quota", tenant="y")
    sent: list[api.Send] = []
    for k in range(n):
        sent += sends(node.complete(f"b{k}", Result.SERVED, 1.0))
        if sent:
            break
    assert sent[0].id == "within-quota"


def test_replica_without_any_answer_keeps_sending() -> None:
    # A restarted replica that got only rejections for a second divided by zero samples.
    node = Node()
    for n in range(40):
        node.request(f"f{n}")
        node.complete(f"f{n}", Result.UNREACHABLE, 100.0)
    assert node.balancer.controller.window(4.0, node.now) == INITIAL_CALLS_PER_SERVER * 4.0
    assert sends(node.request("later"))


def test_window_of_a_new_replica_starts_small_and_grows_with_answers() -> None:
    """A replica without a limit in its first second made a full tier collapse."""
    node = Node(servers=4)
    for n in range(100):
        node.request(f"a{n}")
    initial = list(node.sent)
    assert INITIAL_CALLS_PER_SERVER * 4 * 0.8 <= len(initial) <= INITIAL_CALLS_PER_SERVER * 4
    for id in initial[:10]:
        node.complete(id, Result.SERVED, 1.0)
    assert len(node.sent) >= len(initial) + 18  # each answer frees its own place and adds another


def test_first_attempts_are_shed_while_the_delay_is_above_the_target() -> None:
    """Without shedding, servers with too many calls collapsed one after another and did not recover."""
    node = Node(servers=4)
    node.serve(100, delay_ms=50.0)
    assert node.balancer.controller.shed_share(node.now) == 0.0
    for n in range(30):
        node.request(f"slow{n}", "unsafe")
        if node.sent.get(f"slow{n}"):
            node.complete(f"slow{n}", Result.SERVED, 900.0)
    assert node.balancer.controller.shed_share(node.now) > 0.3
    sent_of_low_value = sum(bool(sends(node.request(f"low{n}"))) for n in range(100))
    assert sent_of_low_value < 70  # the class of the lowest value is shed first
    deeper = Node(servers=4, tier=1)
    deeper.balancer.controller._shed_share, deeper.balancer.controller._sampled_ms = 0.8, deeper.now
    assert sends(deeper.request("a"))  # in a deeper tier a rejection wastes the work done above


def test_rejection_is_a_delay_sample_of_one_latency_target() -> None:
    """Rejections come fast: as samples of low delay they did not limit the load while 61% were rejected."""
    node = Node(servers=4)
    node.serve(100, delay_ms=50.0)
    for n in range(20):
        node.request(f"f{n}", "unsafe")
        if node.sent.get(f"f{n}"):
            node.complete(f"f{n}", Result.REJECTED, 5.0)
    assert node.balancer.controller.shed_share(node.now) > 0.0


def test_idle_time_does_not_shrink_the_window() -> None:
    # In the drain scenario (seeds 9101 and 9303) a replica came back with a window of half its former size.
    def admitted_after(pause_ms: float) -> int:
        node = Node(servers=4)
        for n in range(0, 600, 30):
            for m in range(n, n + 30):
                node.request(f"{m}")
            for m in range(n, n + 30):
                if f"{m}" in node.sent:
                    node.complete(f"{m}", Result.SERVED, 10.0)
        node.now += pause_ms
        return sum(bool(sends(node.request(f"later-{n}"))) for n in range(200))

    assert admitted_after(0.0) > 30
    assert admitted_after(20_000.0) == pytest.approx(admitted_after(0.0), abs=2)
