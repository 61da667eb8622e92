"""The oracle: a node that deliberately violates one rule must be reported under that rule's name."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest

from dunlinloft.balancer import interface as api
from lab import records
from lab.callers import Done, Order
from lab.day import DayObserver, play_virtual
from lab.oracle import Oracle
from lab.plan import Plan
from lab.results import Result
from lab.scenario import Scenario, load, parse
from lab.virtual.host import VirtualHost
from lab.virtual.node import Attempt, VirtualNode

DAY = """
name = "planted"
[day]
length_s = 8
[nodes]
count = 2
[[tiers]]
servers = 6
error_rate = 0.05
slots_per_core = 4
queue_per_core = 1
[callers]
impatient = 0.05
[[faults]]
kind = "server"
at_s = 1
for_s = 3
servers = ["a1", "a4"]
drain = true
[[faults]]
kind = "server"
at_s = 4.5
servers = ["a2"]
restart = true
"""


class Planted(VirtualNode):
    """A faulty node; `alter_actions` replaces the balancer's actions."""

    alter_actions: Callable[[Planted, api.Action], list[api.Action]]

    def act(self, action: api.Action) -> None:
        for each in type(self).alter_actions(self, action):
            super().act(each)


def host_of(node: type[VirtualNode]) -> type[VirtualHost]:
    return type("PlantedHost", (VirtualHost,), {"node_type": node})


def twisted(alter_actions: Callable[[Planted, api.Action], list[api.Action]]) -> type[VirtualHost]:
    return host_of(type("Node", (Planted,), {"alter_actions": staticmethod(alter_actions)}))


def second_answer(node: Planted, action: api.Action) -> list[api.Action]:
    if isinstance(action, api.Fail | api.Reject) and action.id in node._open_requests:
        order = node._open_requests[action.id].order
        done = node._open_requests[action.id].done
        node._host.after(5.0, done, 502, "", 0.0)
        node._host.after(5.0, node._host.tell, records.Answered(node._host.now(), order.id, node.name, 502))
    return [action]


def lose(node: Planted, action: api.Action) -> list[api.Action]:
    if isinstance(action, api.Send) and hash(action.server) % 5 == 0:
        node._open_requests.pop(action.id, None)  # without an answer to the caller
        return []
    return [action]


def refuse_all(node: Planted, action: api.Action) -> list[api.Action]:
    return [api.Reject(action.id)] if isinstance(action, api.Fail) else [action]


class Repeating(VirtualNode):
    """Resends every attempt that ended with an error."""

    where = "anywhere"

    def _complete(self, attempt: Attempt, result: api.Result, report: dict[str, float] | None) -> None:
        again = result is api.Result.ERROR and attempt.number == 0 and not attempt.over
        if not again:
            return super()._complete(attempt, result, report)
        attempt.over = True
        other = next(n for n in self._in_service if self._servers_by_number[n].zone != attempt.server.zone)
        self.send(attempt.id, other, 1000.0)


class Fabricating(VirtualNode):
    """Answers 200 without calling a server."""

    def _accept(self, order: Order, done: Done) -> None:
        self._host.answer(self.name, order, done, 200, "a1", 0.0)


class UpdateIgnoring(VirtualNode):
    """Ignores that servers drain or restart."""

    def decide(self, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerListUpdate):
            for entry in event.entries:
                entry.health, entry.started_ms = api.Health.IN_SERVICE, None
                self._in_service.add(entry.server)
        return super().decide(event)


class ColdServerOverloading(UpdateIgnoring):
    """Sends all requests to a server that has just started."""

    def send(self, id: str, number: int, timeout_ms: float) -> None:
        cold = [n for n, server in self._servers_by_number.items() if server.name == "a2"]
        super().send(id, cold[0] if self._host.now() > 4500.0 else number, timeout_ms)


class UnlistedServerSender(VirtualNode):
    """Sends to a server that is not in its list."""

    def tell_list(self, index: int, entries: list[Any], whole: bool) -> None:
        kept = [entry for entry in entries if entry.name != "a3"]
        super().tell_list(index, kept, whole)
        server = self._host.servers["a3"]
        self._servers_by_number[1], self._host.numbers["a3"] = server, 1
        self._in_service.add(1)

    def send(self, id: str, number: int, timeout_ms: float) -> None:
        super().send(id, 1 if self._host.now() > 2000.0 else number, timeout_ms)


class UnlimitedRetrying(VirtualNode):
    """Retries without limit where a retry is harmless."""

    def _complete(self, attempt: Attempt, result: api.Result, report: dict[str, float] | None) -> None:
        live = attempt.request
        if attempt.over or live.order.name != "slot-view" or attempt.number > 7:
            return super()._complete(attempt, result, report)
        attempt.over = True
        self.send(attempt.id, self._host.numbers[attempt.server.name], 1000.0)


class Ending(VirtualNode):
    """Ends without being told to."""

    def _accept(self, order: Order, done: Done) -> None:
        if self._host.now() > 3000.0:
            return self._host.ended(self)
        super()._accept(order, done)


PLANTED = {
    "second-answer": twisted(second_answer),
    "lost": twisted(lose),
    "false-refusal": twisted(refuse_all),
    "duplicate": host_of(Repeating),
    "group": host_of(Repeating),
    "fabricated": host_of(Fabricating),
    "drain": host_of(UpdateIgnoring),
    "cold": host_of(ColdServerOverloading),
    "unlisted": host_of(UnlistedServerSender),
    "attempts": host_of(UnlimitedRetrying),
    "crash": host_of(Ending),
}


def play(host: type[VirtualHost] = VirtualHost, text: str = DAY) -> Result:
    return play_virtual(parse(text), 1, host=host)


def test_an_unmodified_node_violates_no_rule() -> None:
    result = play()
    assert result.broken == {}
    assert result.figures["requests"] > 300


@pytest.mark.parametrize("rule", PLANTED)
def test_a_planted_violation_is_reported_under_its_rule(rule: str) -> None:
    assert rule in play(PLANTED[rule]).broken


def scenario_and_oracle() -> tuple[Scenario, Oracle]:
    scenario = parse(DAY)
    oracle = Oracle(Plan(scenario, 1))
    oracle.see(records.Told(0.0, "n1", 1, True, [("a1", "active", 0.0), ("a4", "active", 0.0)]))
    return scenario, oracle


def test_a_retry_after_the_window_is_reported() -> None:
    scenario, oracle = scenario_and_oracle()
    window = next(cls.window_ms for cls in scenario.classes if cls.effect == "keyed")
    oracle.see(records.Asked(0.0, "x", "n1", "slot-book", 60_000.0, "callers", "k"))
    for at in (10.0, window + 100.0):
        oracle.see(records.Arrived(at, "x", "n1", "a1", at))
        oracle.see(records.Ended(at + 1.0, "x", "a1", "error"))
    assert oracle.counts == {"window": 1}


@pytest.mark.parametrize(("beyond", "caught"), [(2.0, False), (3.5, True)])
def test_cold_server_overload_is_reported_beyond_the_chance_allowance(beyond: float, caught: bool) -> None:
    """The limit is the budget N plus the chance allowance 2 sqrt(N) + 2, over all callers."""
    scenario, oracle = scenario_and_oracle()
    plan, tier, rules = Plan(scenario, 1), scenario.tiers[0], scenario.rules
    at = 1000.0
    oracle.see(records.Started(at, "a1"))
    oracle.see(records.Told(at, "n1", 2, False, [("a1", "active", at)]))
    per_s = 1000.0 * tier.cores * plan.speeds["a1"] * tier.cold_from / (plan.mean_work_ms * tier.work)
    budget = rules.overload_factor * per_s * rules.overload_ms / 1000.0
    for n in range(int(budget + 2.0 * math.sqrt(budget) + beyond)):
        oracle.see(records.Arrived(at, f"{n}", "n1", "a1", at))
    assert (oracle.counts["cold"] == 1) is caught
    assert oracle.cold_excess == pytest.approx(1.0, abs=0.2)


def test_thirty_independent_processes_do_not_overload_a_starting_server() -> None:
    for seed in (1, 2):
        result = play_virtual(load("ramp"), seed)
        assert result.broken == {} and result.missed == []
        assert result.figures["cold_excess"] <= 1.0


def test_time_limits_are_extended_by_scheduling_delays_only() -> None:
    for late_ms, caught in ((100.0, True), (400.0, False)):
        _, oracle = scenario_and_oracle()
        oracle.see(records.Told(1000.0, "n1", 2, False, [("a1", "leaving", 0.0)]))
        oracle.see(records.Late(1500.0, "n1", late_ms))
        oracle.see(records.Arrived(1800.0, "x", "n1", "a1", 1800.0))  # 250 ms beyond the limit
        assert (oracle.counts["drain"] == 1) is caught


@pytest.mark.parametrize("fault", ["kill", "stop", "link"])
def test_a_fault_excuses_missing_answers_of_affected_nodes_only(fault: str) -> None:
    _, oracle = scenario_and_oracle()
    oracle.see(records.Faulted(100.0, f"0:{fault}", True, ["n1"]))
    for node in ("n1", "n2"):
        oracle.see(records.Asked(50.0, f"of-{node}", node, "slot-view", 500.0, "callers"))
        oracle.see(records.Answered(1100.0, f"of-{node}", node, records.SILENT))
    assert [broken.who for broken in oracle.breaks] == ["n2"]
    assert oracle.excused == 1


def test_a_seed_determines_the_run_exactly() -> None:
    digests = {play().digest for _ in range(2)}
    other = play_virtual(parse(DAY), 2).digest
    assert len(digests) == 1
    assert other not in digests


def test_a_log_contains_every_record_as_a_line_with_its_kind() -> None:
    lines: list[bytes] = []
    observer = DayObserver(Plan(parse(DAY), 1))
    host = VirtualHost(observer._plan if hasattr(observer, "_plan") else Plan(parse(DAY), 1), [])
    host.sinks.append(lambda record: lines.append(records.line(record)))
    host.run()
    kinds = {line.split(b'"', 4)[3] for line in lines}
    assert {b"asked", b"answered", b"arrived", b"ended", b"told", b"faulted", b"belief"} <= kinds
