"""Outlier ejection, shared verdicts on servers, and idle connections."""

from __future__ import annotations

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.outlier_ejection import READMISSION_SPREAD_MS
from tests.helpers import Node


def test_server_that_fails_fast_is_ejected_and_readmitted() -> None:
    node = Node(servers=4)
    node.serve(100)
    failures = 0
    for n in range(60):
        node.request(f"e{n}", "unsafe")
        failing = node.sent[f"e{n}"][0] == 0
        failures += failing
        node.complete(f"e{n}", Result.ERROR if failing else Result.SERVED, 20.0)
    assert failures <= 4
    node.now += 60_000.0
    assert 0 in node.serve(8)


def test_at_most_half_of_a_failing_fleet_is_ejected() -> None:
    node = Node(servers=4)
    node.serve(100)
    for n in range(80):
        node.request(f"e{n}", "unsafe")
        node.complete(f"e{n}", Result.ERROR, 20.0)
        assert sum(node.now < server.ejected_until_ms for server in node.balancer.server_set.ready) <= 2


def share_verdicts(node: Node, *verdicts: api.PeerVerdict) -> None:
    node.handle(api.PeerVerdicts(list(verdicts)))


def test_verdict_excludes_a_server_until_own_successes_override_it() -> None:
    node = Node(servers=4)
    share_verdicts(node, api.PeerVerdict(2, avoid=True))
    assert 2 not in node.serve(20)
    share_verdicts(node, api.PeerVerdict(2, avoid=True, trial=True))
    assert node.serve(20).count(2) >= 2  # the trial attempt succeeded
    share_verdicts(node, api.PeerVerdict(2, avoid=True, classes=frozenset({"keyed"})))
    assert 2 in node.serve(20)


def test_verdict_for_one_class_does_not_affect_the_others() -> None:
    node = Node(servers=4)
    share_verdicts(node, api.PeerVerdict(2, avoid=True, classes=frozenset({"keyed"})))
    assert 2 in node.serve(8)


def test_verdicts_exclude_at_most_half_of_the_servers() -> None:
    node = Node(servers=4)
    share_verdicts(node, *(api.PeerVerdict(n, avoid=True) for n in range(4)))
    assert set(node.serve(20)) == {2, 3}  # the worst come first


def test_replicas_readmit_a_server_at_different_times_after_its_verdict_is_lifted() -> None:
    delays_ms = []
    for seed in range(40):
        node = Node(servers=4, seed=seed)
        share_verdicts(node, api.PeerVerdict(2, avoid=True))
        share_verdicts(node)
        delays_ms.append(node.balancer.server_set.servers[2].ejected_until_ms - node.now)
    assert (
        0.0 <= min(delays_ms) < 0.2 * READMISSION_SPREAD_MS
        and 0.8 * READMISSION_SPREAD_MS < max(delays_ms) <= READMISSION_SPREAD_MS
    )


def test_restart_of_a_server_resets_its_verdict() -> None:
    node = Node(servers=4)
    share_verdicts(node, api.PeerVerdict(2, avoid=True))
    node.set_server_list([api.ServerEntry(n, started_ms=-1e6 if n == 2 else None) for n in range(4)])
    assert 2 in node.serve(8)


def test_idle_connections_are_closed_after_two_losses_on_idle_connections() -> None:
    """Requests on connections that were dropped while idle get no answer; this affects all servers alike."""
    node = Node(servers=4, tier=1)
    node.serve(40)

    def request_after_idle(id: str) -> list[api.Action]:
        node.now += 3000.0
        return node.request(id)

    for n in range(2):
        assert not [a for a in request_after_idle(f"l{n}") if isinstance(a, api.CloseIdle)]
        node.complete(f"l{n}", Result.TIMEOUT, 500.0)
    actions = request_after_idle("later")
    assert isinstance(actions[0], api.CloseIdle) and isinstance(actions[1], api.Send)
    assert actions[0].server == actions[1].server


def test_single_loss_on_an_idle_connection_closes_no_connections() -> None:
    """Closing connections on each timeout caused handshakes, which load the servers."""
    node = Node(servers=1, tier=1)
    node.serve(10)
    for n, result in enumerate([Result.TIMEOUT, Result.SERVED, Result.TIMEOUT, Result.SERVED]):
        node.now += 3000.0 + 1000.0 * n
        assert not [a for a in node.request(f"{n}") if isinstance(a, api.CloseIdle)]
        node.complete(f"{n}", result, 500.0)
