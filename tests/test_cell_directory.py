"""Tests of replication among the directory's processes, and of its cost."""

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


def directory_with_reports(cells: int) -> Directory:
    """Return a directory process that holds reports of so many cells."""
    directory = Directory("d1", 3, random.Random(1), 0.0)
    for n in range(cells):
        partition = CellPartition(1, 8, n)
        summary = CellSummary(
            partition.epoch, partition.depth, partition.bits, 5, 5, n, 1.0, "1", ["127.0.0.1:7400"] * 4
        )
        directory.handle(
            MemberMessageReceived(SummaryReport(3, 1000, f"n{n}", 17, 1, "web", "east", summary), "addr"),
            1_000.0,
        )
    directory.handle(PeersObserved(3, {"d2": 4}), 1_000.0)
    return directory


def pull_request(directory: Directory, now: float) -> PullRequest:
    [action], _ = directory.replication.pull(now)
    assert isinstance(action.message, PullRequest)
    return action.message


def pull_responses(source: Directory, request: PullRequest) -> list[PullResponse]:
    responses = []
    for action in source.replication.receive(request, "d2", 1_500.0):
        assert isinstance(action.message, PullResponse)
        responses.append(action.message)
    return responses


def test_reordered_datagrams_of_a_pull_are_not_requested_again() -> None:
    source, puller = directory_with_reports(60), Directory("d2", 4, random.Random(2), 0.0)
    puller.handle(PeersObserved(4, {"d1": 3}), 1_000.0)
    responses = pull_responses(source, pull_request(puller, 1_400.0))
    assert len(responses) > 4
    missing = responses.pop(2)
    for response in reversed(responses):
        puller.handle(MessageReceived(response, "d1"), 1_600.0)
    repeated = pull_request(puller, 1_700.0)
    assert repeated.cursor == missing.from_cursor
    assert pull_responses(source, repeated)[0].entries == missing.entries
    puller.handle(MessageReceived(missing, "d1"), 1_800.0)
    assert pull_request(puller, 1_900.0).cursor == responses[-1].cursor
    assert len(puller.index.services["web"].cells) == 60


def test_a_new_incarnation_of_a_peer_is_pulled_from_the_start() -> None:
    source, puller = directory_with_reports(30), Directory("d2", 4, random.Random(2), 0.0)
    puller.handle(PeersObserved(4, {"d1": 3}), 1_000.0)
    for response in pull_responses(source, pull_request(puller, 1_400.0))[1:]:
        puller.handle(MessageReceived(response, "d1"), 1_600.0)
    puller.handle(PeersObserved(4, {"d1": 5}), 1_700.0)
    assert pull_request(puller, 1_800.0).cursor == 0


def replication_bytes() -> tuple[float, float]:
    """Return the replication bytes per report and receiving process, and the share of reliable responses."""
    askers = DirectoryLoadFleet(80, 3.0, 1, 8)
    askers.run(70_000.0)
    askers.kinds.clear()
    for cell in askers.simulated_cells:
        cell.answers = cell.reliable = 0
    askers.run(20_000.0)
    assert [askers.known(process) for process in askers.directory()] == [80] * 8
    reports = 80 * 20_000.0 / 10_000.0
    return askers.kinds["PullResponse"] / reports / 8, askers.reliable_share()


def test_replication_costs_a_few_times_the_new_data() -> None:
    bytes_per_report, reliable_share = replication_bytes()
    assert bytes_per_report < 700.0  # a report is 170 bytes, and comes from three partners
    assert reliable_share == 1.0


def test_replication_costs_more_where_reordered_datagrams_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ReportReplication, "_advance", AntiEntropy._advance)
    with pytest.raises(AssertionError):
        test_reordered_datagrams_of_a_pull_are_not_requested_again()
