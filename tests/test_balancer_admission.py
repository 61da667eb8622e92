"""The clients' tier: the window, load shedding, and who goes first."""

from __future__ import annotations

import math

import pytest

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.admission import RESERVED_SHARE
from dunlinloft.balancer.delay_controller import INITIAL_CALLS_PER_SERVER, TARGET_SHARE
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.latency_baseline import TARGET_SHARE_MAX
from tests.helpers import Node, entries, final_answers, sends, timers


def test_a_burst_is_queued_at_the_clients_tier_and_rejected_in_time() -> None:
    # i4cdd30: work that clients had given up on filled every slot.
    node = Node(servers=2)
    node.serve(200)
    for n in range(300):
        node.request(f"b{n}")
    out = sum(s.in_flight for s in node.balancer.server_set.ready)
    assert out < 100
    waiting = [a for _, a in node.action_log if isinstance(a, api.SetTimer)]
    assert len(waiting) >= 200
    refused = 0
    for timer in waiting:
        refused += len(final_answers(node.handle(api.TimerFired(timer.token))))
    assert refused >= 200


def test_deeper_tiers_do_not_queue_for_the_window() -> None:
    node = Node(servers=2, tier=1)
    node.serve(200)
    for n in range(300):
        node.request(f"b{n}")
    assert sum(s.in_flight for s in node.balancer.server_set.ready) == 300


def fill(node: Node) -> int:
    """Ask for cheap calls until one has to wait; how many went out."""
    n = 0
    while not timers(node.request(f"fill{n}")):
        n += 1
    return n


def lose(node: Node, lost: set[int]) -> list[str]:
    """Fill the window, then let these servers fall silent; the calls that stay out there."""
    ids = [f"fill{n}" for n in range(fill(node) + 1)]  # the last one waits
    for n in range(20):
        ids.append(f"lose{n}")
        node.request(ids[-1])
        while answered := [id for id in ids if id in node.sent and node.sent[id][0] not in lost]:
            ids.remove(answered[0])
            node.complete(answered[0], Result.SERVED, 25.0)  # this may send one that was held
    return [id for id in ids if id in node.sent]


@pytest.mark.parametrize(("lost", "left_out"), [({0}, True), ({0, 1}, True), ({0, 1, 2}, False)])
def test_calls_stuck_at_unresponsive_servers_leave_the_window_to_others(
    lost: set[int], left_out: bool
) -> None:
    """zone+vast: over half of each window was calls to a lost zone; half of all requests were refused."""
    node = Node(servers=4)
    node.serve(200)
    stuck = len(lose(node, lost))
    window = node.balancer.controller.window(node.balancer.server_set.slice_size, node.now)
    out = 0
    while not timers(node.request(f"more{out}")):
        out += 1
    full = math.ceil((1.0 - RESERVED_SHARE) * window)
    assert stuck >= 2 * len(lost)
    if left_out:  # all that the answering servers' part of it can bear
        assert out >= full * (4 - len(lost)) / 4 - 1.0
    else:
        assert out <= full - stuck


def test_time_outs_at_unresponsive_servers_say_nothing_of_the_tier() -> None:
    """zone+vast: for 10 s after a zone was back the loop shed half of what came, with few calls out."""
    node = Node(servers=4)
    node.serve(200)
    usual = node.balancer.controller.shed_share(node.now)
    for id in lose(node, {0}):
        node.complete(id, Result.TIMEOUT, 2000.0)
    assert node.balancer.controller.shed_share(node.now) == usual == 0.0
    slow = [f"slow{n}" for n in range(8)]
    for id in slow:
        node.request(id)
    for n, id in enumerate(slow):  # all of them slow: that is the tier's delay
        node.complete(id, (Result.SERVED, Result.TIMEOUT)[n % 2], 800.0)
    assert node.balancer.controller.shed_share(node.now) > 0.0


def test_the_window_follows_the_capacity_that_is_left() -> None:
    """join+vast: the four servers that a release had left warm got 25 calls each, and choked."""
    node = Node(servers=10)
    node.serve(400)
    full = fill(node)
    for n in range(full):
        node.complete(f"fill{n}", Result.SERVED, 0.0)
    restarted = entries(range(10, 16), started_ms=node.now)
    node.set_server_list([*entries(range(4)), *restarted], 2)
    left = 0
    while not timers(node.request(f"left{left}")):
        left += 1
    warm = (4.0 + 6.0 * node.balancer.settings.slow_start_initial_share) / 10.0
    assert left == pytest.approx(warm * full, abs=1.0)


def load(node: Node, count: int, delay_ms: float) -> None:
    """Ask so many times, and serve what is sent."""
    for _ in range(count):
        id = f"load-{node.now}"
        node.request(id)
        if id in node.sent:
            node.complete(id, Result.SERVED, delay_ms)
        node.now += 10.0


@pytest.mark.parametrize(("own_ms", "delay_ms", "sheds"), [(450.0, 450.0, False), (250.0, 480.0, True)])
def test_the_target_lies_over_the_tiers_own_delay(own_ms: float, delay_ms: float, sheds: bool) -> None:
    """disco+vast: with a normal delay of 0.41 to 0.45 of the aim, all copies shed for a target of 0.4."""
    node = Node(servers=4)
    load(node, 100, own_ms)
    load(node, 60, delay_ms)
    assert (node.balancer.controller.shed_share(node.now) > 0.0) is sheds
    assert (node.balancer.controller.target_share > TARGET_SHARE) is not sheds


def test_the_target_of_a_tier_that_is_slow_from_the_start_is_bounded() -> None:
    node = Node(servers=4)
    load(node, 1000, 900.0)
    assert node.balancer.controller.target_share == TARGET_SHARE_MAX
    assert node.balancer.controller.shed_share(node.now) > 0.0


def test_queued_requests_of_most_value_go_first() -> None:
    node = Node(servers=2)
    node.serve(200)
    n = fill(node)
    while sends(node.request(f"dear{n}", "unsafe")):  # the last of the window is kept for it
        n += 1
    sent = [send for k in range(5) for send in sends(node.complete(f"fill{k}", Result.SERVED, 1.0))]
    assert sent[0].id == f"dear{n}"


def test_a_valuable_class_that_takes_too_long_goes_behind() -> None:
    """akl overload: half as much again for twice the time is no better use of a full tier."""
    node = Node(servers=2)
    node.serve(200)
    node.serve(200, "keyed_all", delay_ms=400.0)
    n = fill(node)
    node.request("slow", "keyed_all")
    sent: list[api.Send] = []
    for k in range(n):
        sent += sends(node.complete(f"fill{k}", Result.SERVED, 1.0))
    assert next(send.id for send in sent if send.id in (f"fill{n}", "slow")) == f"fill{n}"


def test_the_worst_served_class_is_not_starved_where_that_counts() -> None:
    """pohjola-later rough-1: strict order of worth served 9% of the cheaper class."""

    def first(worst_class: float) -> str:
        node = Node(servers=2, worst_class_weight=worst_class)
        node.serve(100)
        node.serve(100, "keyed_all")
        for n in range(20):
            node.request(f"f{n}")
            node.complete(f"f{n}", Result.ERROR, 1.0, final=False)
            node.handle(api.TimerFired(node.balancer._last_token), 3000.0)
        n = fill(node)
        node.request("dear", "keyed_all")
        for k in range(n):
            sent = sends(node.complete(f"fill{k}", Result.SERVED, 1.0))
            if sent:
                return sent[0].id
        raise AssertionError("nothing was released")

    assert first(0.0) == "dear"
    assert first(2.0).startswith("fill")


def test_the_last_of_the_window_is_reserved_for_the_class_of_most_value() -> None:
    """pohjola-later rough-1: a fifth of the dear class was refused while the other got in."""
    node = Node(servers=2)
    node.serve(200)
    node.serve(200, "unsafe")
    n = fill(node)
    assert sends(node.request("dear", "unsafe"))
    window = node.balancer.controller.window(2.0, node.now)
    assert n < window <= n + 3


def test_tenants_over_their_quota_wait_last() -> None:
    tenants = [api.Tenant("x", 0.5, 5.0), api.Tenant("y", 0.5, 5.0)]
    node = Node(servers=2, tenants=tenants, over_quota_value=0.05)
    node.serve(200)
    n = 0
    while not timers(node.request(f"b{n}", tenant="x")):
        n += 1
    for k in range(5):
        node.request(f"x{k}", tenant="x")
    node.request("fair", tenant="y")
    sent: list[api.Send] = []
    for k in range(n):
        sent += sends(node.complete(f"b{k}", Result.SERVED, 1.0))
        if sent:
            break
    assert sent[0].id == "fair"


def test_a_replica_that_sees_only_failures_goes_on_sending() -> None:
    # Pohjola rules-1: a restarted copy divided by no samples after a second of refusals.
    node = Node()
    for n in range(40):
        node.request(f"f{n}")
        node.complete(f"f{n}", Result.UNREACHABLE, 100.0)
    assert node.balancer.controller.window(4.0, node.now) == INITIAL_CALLS_PER_SERVER * 4.0
    assert sends(node.request("later"))


def test_a_new_replica_starts_with_a_few_calls_a_server_and_grows_with_answers() -> None:
    """sulcast-later overload: a copy without a bound in its first second let a full tier choke."""
    node = Node(servers=4)
    for n in range(100):
        node.request(f"a{n}")
    first = list(node.sent)
    assert INITIAL_CALLS_PER_SERVER * 4 * 0.8 <= len(first) <= INITIAL_CALLS_PER_SERVER * 4
    for id in first[:10]:
        node.complete(id, Result.SERVED, 1.0)
    assert len(node.sent) >= len(first) + 18  # each answer lets two out: its own place and one more


def test_the_loop_sheds_first_attempts_while_the_delay_is_over_the_target() -> None:
    """Kolin big-1: servers that held too many calls tipped one after another, and stayed so."""
    node = Node(servers=4)
    node.serve(100, delay_ms=50.0)
    assert node.balancer.controller.shed_share(node.now) == 0.0
    for n in range(30):
        node.request(f"slow{n}", "unsafe")
        if node.sent.get(f"slow{n}"):
            node.complete(f"slow{n}", Result.SERVED, 900.0)
    assert node.balancer.controller.shed_share(node.now) > 0.3
    cheap = sum(bool(sends(node.request(f"cheap{n}"))) for n in range(100))
    assert cheap < 70  # the class of least value goes first
    deeper = Node(servers=4, tier=1)
    deeper.balancer.controller._shed_share, deeper.balancer.controller._sampled_ms = 0.8, deeper.now
    assert sends(deeper.request("a"))  # deeper, a refusal wastes work done above


def test_a_rejection_is_a_delay_sample_of_one_latency_target() -> None:
    """Leiden rough-1: 'full' comes fast, and left the loop open while 61% of the attempts got it."""
    node = Node(servers=4)
    node.serve(100, delay_ms=50.0)
    for n in range(20):
        node.request(f"f{n}", "unsafe")
        if node.sent.get(f"f{n}"):
            node.complete(f"f{n}", Result.REJECTED, 5.0)
    assert node.balancer.controller.shed_share(node.now) > 0.0


def test_idle_time_does_not_shrink_the_window() -> None:
    # The drain days of seeds 9101 and 9303: a copy came back with a window for half of what it had borne.
    def let_in(pause_ms: float) -> int:
        node = Node(servers=4)
        for n in range(0, 600, 30):
            for m in range(n, n + 30):
                node.request(f"{m}")
            for m in range(n, n + 30):
                if f"{m}" in node.sent:
                    node.complete(f"{m}", Result.SERVED, 10.0)
        node.now += pause_ms
        return sum(bool(sends(node.request(f"later-{n}"))) for n in range(200))

    assert let_in(0.0) > 30
    assert let_in(20_000.0) == pytest.approx(let_in(0.0), abs=2)
