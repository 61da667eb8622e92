"""The directory's processes among themselves: how reports get about, and at what cost."""

from __future__ import annotations

import random

import pytest

from dunlinloft.fleet.cells.directory import Directory, MemberMessageReceived, PeersObserved
from dunlinloft.fleet.cells.messages import CellSummary, SummaryReport
from dunlinloft.fleet.cells.partition import CellPartition
from dunlinloft.fleet.cells.report_replication import ReportReplication
from dunlinloft.fleet.shared_state.anti_entropy import AntiEntropy
from dunlinloft.fleet.shared_state.messages import MessageReceived, PullRequest, PullResponse
from lab.virtual.askers import DirectoryLoadFleet


def full(cells: int) -> Directory:
    """One that has heard of so many cells."""
    directory = Directory("d1", 3, random.Random(1), 0.0)
    for n in range(cells):
        cut = CellPartition(1, 8, n)
        summary = CellSummary(cut.epoch, cut.depth, cut.bits, 5, 5, n, 1.0, "1", ["127.0.0.1:7400"] * 4)
        directory.handle(
            MemberMessageReceived(SummaryReport(3, 1000, f"n{n}", 17, 1, "web", "east", summary), "addr"),
            1_000.0,
        )
    directory.handle(PeersObserved(3, {"d2": 4}), 1_000.0)
    return directory


def asked(directory: Directory, now: float) -> PullRequest:
    [tell], _ = directory.replication.pull(now)
    assert isinstance(tell.message, PullRequest)
    return tell.message


def answers(giver: Directory, pull: PullRequest) -> list[PullResponse]:
    found = []
    for tell in giver.replication.receive(pull, "d2", 1_500.0):
        assert isinstance(tell.message, PullResponse)
        found.append(tell.message)
    return found


def test_reordered_datagrams_of_a_pull_are_not_requested_again() -> None:
    giver, taker = full(60), Directory("d2", 4, random.Random(2), 0.0)
    taker.handle(PeersObserved(4, {"d1": 3}), 1_000.0)
    pours = answers(giver, asked(taker, 1_400.0))
    assert len(pours) > 4
    missing = pours.pop(2)
    for pour in reversed(pours):
        taker.handle(MessageReceived(pour, "d1"), 1_600.0)
    again = asked(taker, 1_700.0)
    assert again.cursor == missing.from_cursor
    assert answers(giver, again)[0].entries == missing.entries
    taker.handle(MessageReceived(missing, "d1"), 1_800.0)
    assert asked(taker, 1_900.0).cursor == pours[-1].cursor
    assert len(taker.index.services["web"].cells) == 60


def test_a_new_incarnation_of_a_peer_is_pulled_from_the_start() -> None:
    giver, taker = full(30), Directory("d2", 4, random.Random(2), 0.0)
    taker.handle(PeersObserved(4, {"d1": 3}), 1_000.0)
    for pour in answers(giver, asked(taker, 1_400.0))[1:]:
        taker.handle(MessageReceived(pour, "d1"), 1_600.0)
    taker.handle(PeersObserved(4, {"d1": 5}), 1_700.0)
    assert asked(taker, 1_800.0).cursor == 0


def told_bytes() -> tuple[float, float]:
    """Bytes of replication for each report and process that hears of it; and how many answers were sure."""
    askers = DirectoryLoadFleet(80, 3.0, 1, 8)
    askers.run(70_000.0)
    askers.kinds.clear()
    for cell in askers.simulated_cells:
        cell.answers = cell.reliable = 0
    askers.run(20_000.0)
    assert [askers.known(guide) for guide in askers.directory()] == [80] * 8
    reports = 80 * 20_000.0 / 10_000.0
    return askers.kinds["PullResponse"] / reports / 8, askers.reliable_share()


def test_replication_costs_a_few_times_the_new_data() -> None:
    bytes_told, reliable = told_bytes()
    assert bytes_told < 700.0  # a report is 170 bytes, and comes from three partners
    assert reliable == 1.0


def test_replication_costs_more_where_reordered_datagrams_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ReportReplication, "_advance", AntiEntropy._advance)
    with pytest.raises(AssertionError):
        test_reordered_datagrams_of_a_pull_are_not_requested_again()
