"""New settings and quota shares while calls are in flight, and events with unknown ids."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.balancer import Balancer
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.tenant_quotas import QuotaCounts
from tests.helpers import KEYED, SAFE, UNSAFE, Node, entries, final_answers, sends, settings, timers


def test_new_settings_apply_to_new_calls_while_those_in_flight_keep_their_class() -> None:
    node = Node(classes=[SAFE, UNSAFE], max_attempts=3)
    node.request("old", "safe")
    stricter = replace(SAFE, idempotency=api.Idempotency.NON_IDEMPOTENT)
    node.handle(api.Reconfigured(settings(classes=[stricter, KEYED], max_attempts=3)))
    retry = node.complete("old", api.Result.ERROR)
    assert timers(retry), "the request was idempotent when it was accepted"
    node.request("new", "safe")
    assert isinstance(final_answers(node.complete("new", api.Result.ERROR))[0], api.Fail)
    node.request("keyed", "keyed")
    assert sends(node.complete("keyed", api.Result.SERVED)) == []
    assert set(node.balancer.classes) == {"safe", "keyed"}


def test_lower_attempt_limit_applies_to_calls_in_flight() -> None:
    node = Node(max_attempts=3)
    node.request("a", "safe")
    assert timers(node.complete("a", api.Result.ERROR))
    node.handle(api.Reconfigured(settings(max_attempts=1)))
    [timer] = [a for _, a in node.action_log if isinstance(a, api.SetTimer)][-1:]
    actions = node.handle(api.TimerFired(timer.token), timer.delay_ms)
    assert not sends(actions) and final_answers(actions)


def test_removing_a_class_with_waiting_calls_does_not_affect_other_classes() -> None:
    node = Node(servers=0, classes=[SAFE, UNSAFE])
    node.request("a", "unsafe")
    node.handle(api.Reconfigured(settings(classes=[KEYED])))
    node.set_server_list(entries(range(2)), 2)
    node.serve(30, "keyed")
    assert node.balancer.statistics.lowest_on_time_share() == 1.0


def test_quota_shares_apply_until_replaced() -> None:
    tenants = [api.Tenant("t", quota_per_s=40.0)]
    balancer = Balancer(replace(settings(), tenants=tenants, replicas=4), 1)

    def admitted_within_quota(at: float) -> int:
        before = balancer.quota_counts.get("t", QuotaCounts()).within
        for n in range(100):
            balancer.handle(api.Request(f"{at}{n}", "safe", 100.0, "t"), at + 10.0 * n)
        return balancer.quota_counts["t"].within - before

    admitted_within_quota(0.0)
    assert admitted_within_quota(1_000.0) == pytest.approx(10, abs=1)
    balancer.handle(api.QuotaShares({"t": 30.0}), 2_000.0)
    admitted_within_quota(2_000.0)
    assert admitted_within_quota(3_000.0) == pytest.approx(30, abs=1)
    balancer.handle(api.QuotaShares({}), 4_000.0)
    admitted_within_quota(4_000.0)
    assert admitted_within_quota(5_000.0) == pytest.approx(10, abs=1)


def test_events_with_unknown_ids_have_no_effect() -> None:
    node = Node()
    assert node.handle(api.TimerFired(999)) == []
    assert node.handle(api.ClientDisconnected("nobody")) == []
    node.handle(api.AttemptCompleted("nobody", 0, 0, Result.SERVED, 5.0, True))
    node.handle(api.AttemptCompleted("nobody", 0, 77, Result.ERROR, 5.0, True))
    assert math.isfinite(node.balancer.controller.allowed_rate)
