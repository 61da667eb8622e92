"""The data plane's pure parts: routing, events, budgets, lateness, servers as a node sees them."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunlinloft.balancer.logic import DelayController
from dunlinloft.configuration import Backend, Configuration, Route, Service, Tenant
from dunlinloft.coordination.digests import RANGES, RangeDigests, range_of
from dunlinloft.coordination.stream import ServerNews, ServerRecord
from dunlinloft.dataplane.budget import RetryBudget, gate_allows
from dunlinloft.dataplane.events import EventCutter
from dunlinloft.dataplane.lateness import Lateness, priority_of
from dunlinloft.dataplane.routing import RoutingTable, cost_of
from dunlinloft.dataplane.servers import ANSWERED_MS, ServerNeeds, ServerTable, ServicePool
from dunlinloft.dataplane.upstream import stated_idle_s
from dunlinloft.dataplane.verdict import Verdict, verdict_of_answer, verdict_of_break


def _route(name: str, prefix: str, host: str = "a.example") -> Route:
    return Route(name, host, prefix, 1_000.0, service="pool")


def _table(*routes: Route, tenants: tuple[Tenant, ...] = ()) -> RoutingTable:
    configuration = Configuration(1, routes, (Service("pool"), Service("other")), tenants=tenants)
    return RoutingTable(configuration, random.Random(1))


def test_the_longest_prefix_of_the_host_wins() -> None:
    table = _table(
        _route("all", "/"), _route("a", "/a/"), _route("ab", "/a/b/"), _route("b", "/a/", "b.example")
    )
    found = {
        path: way.route.name if (way := table.find("A.example", path)) else None
        for path in ("/", "/a", "/a/", "/a/b", "/a/b/c", "/ab/")
    }
    assert found == {"/": "all", "/a": "all", "/a/": "a", "/a/b": "a", "/a/b/c": "ab", "/ab/": "all"}
    way = table.find("b.example", "/a/x")
    assert way is not None and way.route.name == "b"
    assert table.find("b.example", "/x/") is None
    assert table.find("c.example", "/") is None


def test_requests_are_split_by_weight() -> None:
    backends = (Backend("pool", 90.0), Backend("other", 10.0))
    route = Route("split", "a.example", "/", 1_000.0, backends=backends)
    way = _table(route).find("a.example", "/x")
    assert way is not None
    services = [way.service() for _ in range(1_000)]
    assert abs(services.count("other") - 100) <= 2


def test_what_a_request_costs_its_tenant() -> None:
    tokens = Tenant("t", billing_unit="token_based", uncached_tokens=200.0)
    assert cost_of(tokens, "1460,80") == 1_540.0
    assert cost_of(tokens, None) == cost_of(tokens, "many") == 200.0
    assert cost_of(Tenant("t"), "1460,80") == 1.0


STREAM = b"".join(b"id: %d\r\ndata: piece %d\r\n\r\n" % (n, n) for n in range(4)) + b"id: 4\ndata: x\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_are_passed_whole_however_they_come(cuts: list[int]) -> None:
    cutter = EventCutter()
    passed = b""
    edges = [0, *sorted(cuts), len(STREAM)]
    for start, end in itertools.pairwise(edges):
        passed += cutter.feed(STREAM[start:end])
        assert passed == b"" or passed.endswith((b"\n\n", b"\r\n\r\n"))
        assert STREAM.startswith(passed)
    assert passed + cutter.rest() == STREAM
    assert cutter.last_id == "4"


def test_half_an_event_is_dropped_where_another_server_goes_on() -> None:
    cutter = EventCutter()
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    cutter.restart()
    assert cutter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert cutter.last_id == "2"


def test_only_a_server_that_says_so_did_not_run_a_request() -> None:
    assert verdict_of_answer(503, {"X-Not-Executed": "1"}, True) is Verdict.NOT_EXECUTED
    assert verdict_of_answer(421, {}, True) is Verdict.NOT_EXECUTED
    assert verdict_of_answer(503, {}, True) is Verdict.EXECUTED
    assert verdict_of_answer(503, {"X-Not-Executed": "1"}, False) is Verdict.MAY_HAVE_EXECUTED
    assert verdict_of_break(True) is Verdict.MAY_HAVE_EXECUTED
    assert verdict_of_break(False) is Verdict.NOT_EXECUTED


@pytest.mark.parametrize("seed", range(5))
def test_the_retries_of_all_nodes_stay_within_the_budget(seed: int) -> None:
    rng = random.Random(seed)
    nodes = [RetryBudget(0.2, 10.0, 60.0) for _ in range(10)]
    firsts, retries, now = [], [], 0.0
    while now < 40_000.0:
        now += rng.expovariate(1.0 / 10.0)
        node = nodes[min(9, int(rng.expovariate(0.4)))]
        node.first(now)
        firsts.append(now)
        if now > 15_000.0 and node.may_send(10, now):
            retries.append(now)
    assert retries
    for start in range(0, 30_000, 250):
        window = (float(start), start + 10_000.0)
        within = [sum(window[0] <= t < window[1] for t in times) for times in (firsts, retries)]
        assert within[1] <= 0.2 * within[0] + 60.0


def test_the_gate_closes_while_the_delay_stays_over_its_target() -> None:
    controller = DelayController()
    now = 0.0
    for _ in range(200):
        now += 20.0
        controller.answered(20.0, 200.0, now, True)
    assert all(gate_allows(controller, draw / 10.0, now) for draw in range(10))
    for _ in range(600):
        now += 20.0
        controller.answered(900.0, 200.0, now, True)
    assert sum(gate_allows(controller, draw / 10.0, now) for draw in range(10)) <= 1


def test_what_a_server_states_of_idle_connections() -> None:
    assert stated_idle_s("timeout=10, max=100") == 10.0
    assert stated_idle_s("max=100,Timeout = 7") == 7.0
    assert stated_idle_s("") is None
    assert stated_idle_s("timeout=soon") is None


def test_a_later_try_tells_how_long_its_client_has_waited() -> None:
    lateness = Lateness()
    assert lateness.waited_ms("chat", 2_000.0) == 0.0
    assert lateness.waited_ms("chat", 1_400.0) == 600.0
    assert lateness.waited_ms("other", 500.0) == 0.0
    assert priority_of(1, 100.0, 200.0) == 1
    assert priority_of(1, 600.0, 200.0) == 5
    assert priority_of(8, 600.0, 200.0) == 9


ALL = tuple(range(RANGES))


def _record(number: int, sequence: int = 1, state: str = "ready") -> ServerRecord:
    return ServerRecord(f"i-{number}", "pool", f"10.0.0.{number}:80", "a", 8, state, sequence)


def test_a_server_that_fails_rests_and_none_is_left_out_where_all_do() -> None:
    pool = ServicePool(random.Random(1))
    for number in range(3):
        pool.put(_record(number))
    needs = ServerNeeds(200.0)
    pool.servers["i-0"].failed(0.0)
    picked = {server.record.id for _ in range(30) if (server := pool.pick(needs, 10, (), 10.0))}
    assert picked == {"i-1", "i-2"}
    for server in pool.servers.values():
        server.failed(10.0)
    assert pool.pick(needs, 10, (), 20.0) is not None
    assert {pool.pick(needs, 10, (), 5_000.0 + n) for n in range(30)} == set(pool.servers.values())


def test_a_silent_server_is_kept_away_from() -> None:
    pool = ServicePool(random.Random(1))
    for number in range(2):
        pool.put(_record(number))
    pool.servers["i-0"].sent("a", 0.0)
    assert pool.avoided(200.0, 10, (), 400.0) == set()
    assert pool.avoided(200.0, 10, (), 700.0) == {"i-0"}
    pool.servers["i-0"].heard("a", 800.0)
    assert pool.avoided(200.0, 10, (), 900.0) == set()


def test_a_server_is_dropped_once_no_control_plane_lists_it() -> None:
    table = ServerTable(random.Random(1))
    table.whole("one", True, ALL, (_record(1), _record(2)))
    table.whole("other", True, ALL, (_record(1),))
    table.news("one", ServerNews((), ("i-1", "i-2")), 0.0)
    assert set(table.pool("pool").servers) == {"i-1"}
    table.news("other", ServerNews((), ("i-1",)), 0.0)
    assert not table.pool("pool").servers


def test_a_server_whose_heartbeats_stop_is_kept_as_long_as_it_answers() -> None:
    table = ServerTable(random.Random(1))
    table.whole("one", True, ALL, (_record(1), _record(2), _record(3)))
    servers = table.pool("pool").servers
    for server in servers.values():
        server.sent("a", 900.0)
    servers["i-1"].heard("a", 1_000.0)
    servers["i-3"].heard("a", 1_000.0)
    # The third says that it ends; the second answers nothing.
    table.news("one", ServerNews((), ("i-1", "i-2", "i-3"), ("i-1", "i-2")), 1_500.0)
    assert set(servers) == {"i-1"}
    servers["i-1"].heard("b", 2_000.0)
    table.forget_unlisted(2_000.0 + ANSWERED_MS)
    assert set(servers) == {"i-1"}
    table.forget_unlisted(2_001.0 + ANSWERED_MS)
    assert not servers


def test_a_kept_server_that_is_heard_of_again_is_listed_as_before() -> None:
    table = ServerTable(random.Random(1))
    table.whole("one", True, ALL, (_record(1),))
    table.pool("pool").servers["i-1"].heard("a", 1_000.0)
    table.news("one", ServerNews((), ("i-1",), ("i-1",)), 1_500.0)
    table.news("other", ServerNews((_record(1, 9),), ()), 1_600.0)
    table.forget_unlisted(60_000.0)
    assert set(table.pool("pool").servers) == {"i-1"}
    table.news("other", ServerNews((), ("i-1",)), 61_000.0)
    assert not table.pool("pool").servers


def test_a_control_plane_that_has_just_started_takes_nothing_away() -> None:
    table = ServerTable(random.Random(1))
    table.whole("one", True, ALL, (_record(1), _record(2)))
    table.lost("one", 0.0)
    table.whole("one", False, ALL, (_record(1, 5),))
    assert set(table.pool("pool").servers) == {"i-1", "i-2"}
    table.whole("one", True, ALL, (_record(1, 6),))
    assert set(table.pool("pool").servers) == {"i-1"}


def test_what_only_a_lost_stream_lists_goes_while_another_is_up() -> None:
    table = ServerTable(random.Random(1))
    table.whole("one", True, ALL, (_record(1),))
    table.lost("one", 0.0)
    table.forget_lost(1_000.0, 5_000.0)
    assert table.pool("pool").servers
    table.whole("other", True, ALL, (_record(2),))
    table.forget_lost(1_000.0, 6_000.0)
    assert set(table.pool("pool").servers) == {"i-2"}


def test_only_ranges_that_differ_are_told_and_the_rest_is_taken_as_listed() -> None:
    records = [_record(number) for number in range(200)]
    here = ServerTable(random.Random(1))
    here.whole("one", True, ALL, tuple(records))
    there = RangeDigests([*records[1:], _record(500)])
    ranges = there.differing(here.digests())
    assert set(ranges) == {range_of("i-0"), range_of("i-500")}
    told = tuple(r for r in [*records[1:], _record(500)] if range_of(r.id) in ranges)
    assert len(told) < 20
    here.whole("other", True, ranges, told)
    here.news("one", ServerNews((), tuple(record.id for record in records)), 0.0)
    assert set(here.pool("pool").servers) == {r.id for r in [*records[1:], _record(500)]}
    assert there.differing(here.digests()) == ()
    assert len(there.differing(())) == RANGES


def test_a_restarted_control_plane_that_is_complete_takes_away_what_it_has_not_heard_since() -> None:
    table = ServerTable(random.Random(1))
    table.whole("one", True, ALL, (_record(1), _record(2), _record(3)))
    table.lost("one", 0.0)
    table.whole("one", False, ALL, (_record(1),))
    table.news("one", ServerNews((_record(2, 9),), ()), 0.0)
    table.now_complete("one")
    assert set(table.pool("pool").servers) == {"i-1", "i-2"}


def test_draining_is_followed_whoever_tells_it_first() -> None:
    table = ServerTable(random.Random(1))
    table.whole("one", True, ALL, (_record(1, 4, "draining"),))
    table.whole("other", True, ALL, (_record(1, 3),))
    assert table.pool("pool").servers["i-1"].record.draining
