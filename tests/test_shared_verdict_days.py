"""Scenarios in virtual time: members agree on the faulty server, and avoid no other."""

from __future__ import annotations

import random
from typing import ClassVar

import pytest

from dunlinloft.fleet.shared_state.messages import ObservationReport, ServerStatistics
from dunlinloft.fleet.shared_state.verdicts import ReceivedReport, VerdictPool
from lab.day import play_virtual
from lab.scenario import parse
from lab.virtual.host import VirtualHost
from tests.shared_days import SHARED_DAY


class _AvoidedServers(VirtualHost):
    """Records how many servers each node avoids, whenever the nodes are sampled."""

    counts: ClassVar[list[int]] = []

    def beliefs(self) -> None:
        super().beliefs()
        for node in self.nodes.values():
            if node.alive and node.member is not None:
                self.counts.append(sum(verdict.avoid for verdict in node.member.shared.verdicts))


# With seeds 27, 86, 135 and 241 one member lost attempts of two classes at one server within a second.
@pytest.mark.parametrize("seed", [3, 27, 86, 135, 241, *range(40, 50)])
def test_only_the_faulty_server_is_avoided(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    counts: list[int] = []
    monkeypatch.setattr(_AvoidedServers, "counts", counts)
    result = play_virtual(parse(SHARED_DAY), seed, host=_AvoidedServers)
    assert result.broken == {}
    assert max(counts) == 1


def _report(*rows: ServerStatistics) -> ObservationReport:
    return ObservationReport("linz", 0, 9, 1, 0, list(rows))


def _row(class_hash: int, errors: int, losses: int) -> ServerStatistics:
    """A member's row on server 1; odds are in tenths."""
    return ServerStatistics(1, 0, class_hash, errors, losses, 0, 100, 0)


def _avoided(*reports: ReceivedReport) -> bool:
    pool = VerdictPool("linz", 0, random.Random(1))
    verdicts = pool.update(reports, dict.fromkeys(range(1, 10), 0), 250.0, 10_000.0)
    return any(verdict.avoid for verdict in verdicts)


@pytest.mark.parametrize(
    "rows",
    [
        (_row(7, 0, 50), _row(8, 0, 29)),
        (_row(7, 60, 0), _row(8, 60, 0)),
        (_row(7, 60, 60),),
        (_row(7, 40, 0), _row(8, 0, 40)),
    ],
    ids=["losses of two classes", "errors of two classes", "errors and losses", "one of each"],
)
def test_one_member_alone_does_not_suffice(rows: tuple[ServerStatistics, ...]) -> None:
    report = _report(*rows)
    assert not _avoided(ReceivedReport("n1", 0.0, report))
    assert _avoided(ReceivedReport("n1", 0.0, report), ReceivedReport("n2", 0.0, report))
