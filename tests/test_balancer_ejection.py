"""Outlier ejection, peers' verdicts on servers, and idle connections."""

from __future__ import annotations

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.outlier_ejection import READMISSION_SPREAD_MS
from tests.helpers import Node


def test_a_server_that_fails_fast_is_ejected_and_returns() -> None:
    node = Node(servers=4)
    node.serve(100)
    bad = 0
    for n in range(60):
        node.request(f"e{n}", "unsafe")
        failing = node.sent[f"e{n}"][0] == 0
        bad += failing
        node.complete(f"e{n}", Result.ERROR if failing else Result.SERVED, 20.0)
    assert bad <= 4
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


def test_a_server_that_peers_warn_of_gets_nothing_until_own_answers_say_otherwise() -> None:
    node = Node(servers=4)
    share_verdicts(node, api.PeerVerdict(2, avoid=True))
    assert 2 not in node.serve(20)
    share_verdicts(node, api.PeerVerdict(2, avoid=True, trial=True))
    assert node.serve(20).count(2) >= 2  # one was tried, and answered
    share_verdicts(node, api.PeerVerdict(2, avoid=True, classes=frozenset({"keyed"})))
    assert 2 in node.serve(20)


def test_a_warning_for_one_class_leaves_the_others() -> None:
    node = Node(servers=4)
    share_verdicts(node, api.PeerVerdict(2, avoid=True, classes=frozenset({"keyed"})))
    assert 2 in node.serve(8)


def test_at_most_half_of_the_servers_are_excluded_by_verdicts() -> None:
    node = Node(servers=4)
    share_verdicts(node, *(api.PeerVerdict(n, avoid=True) for n in range(4)))
    assert set(node.serve(20)) == {2, 3}  # the worst come first


def test_a_server_no_longer_warned_of_comes_back_to_each_replica_at_its_own_time() -> None:
    back = []
    for seed in range(40):
        node = Node(servers=4, seed=seed)
        share_verdicts(node, api.PeerVerdict(2, avoid=True))
        share_verdicts(node)
        back.append(node.balancer.server_set.servers[2].ejected_until_ms - node.now)
    assert (
        0.0 <= min(back) < 0.2 * READMISSION_SPREAD_MS
        and 0.8 * READMISSION_SPREAD_MS < max(back) <= READMISSION_SPREAD_MS
    )


def test_a_verdict_is_void_once_its_server_has_restarted() -> None:
    node = Node(servers=4)
    share_verdicts(node, api.PeerVerdict(2, avoid=True))
    node.set_server_list([api.ServerEntry(n, started_ms=-1e6 if n == 2 else None) for n in range(4)])
    assert 2 in node.serve(8)


def test_idle_connections_are_closed_after_two_losses_on_such() -> None:
    """Rosario fresh-big: connections dropped while idle answer nothing, at all servers alike."""
    node = Node(servers=4, tier=1)
    node.serve(40)

    def idle_send(id: str) -> list[api.Action]:
        node.now += 3000.0
        return node.request(id)

    for n in range(2):
        assert not [a for a in idle_send(f"l{n}") if isinstance(a, api.CloseIdle)]
        node.complete(f"l{n}", Result.TIMEOUT, 500.0)
    actions = idle_send("later")
    assert isinstance(actions[0], api.CloseIdle) and isinstance(actions[1], api.Send)
    assert actions[0].server == actions[1].server


def test_one_loss_on_an_idle_connection_closes_nothing() -> None:
    """akl big-1: each time-out brought handshakes, which cost servers work."""
    node = Node(servers=1, tier=1)
    node.serve(10)
    for n, result in enumerate([Result.TIMEOUT, Result.SERVED, Result.TIMEOUT, Result.SERVED]):
        node.now += 3000.0 + 1000.0 * n
        assert not [a for a in node.request(f"{n}") if isinstance(a, api.CloseIdle)]
        node.complete(f"{n}", result, 500.0)
