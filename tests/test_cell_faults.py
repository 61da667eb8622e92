"""Injects faults into the cell modules, each with the test that has to detect it."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest

from dunlinloft.fleet.cells import core as core_module
from dunlinloft.fleet.cells import index as index_module
from dunlinloft.fleet.cells import partition as partition_module
from dunlinloft.fleet.cells import service_totals as service_totals_module
from dunlinloft.fleet.cells.bootstrap_addresses import BootstrapAddresses
from dunlinloft.fleet.cells.core import CellMembership
from dunlinloft.fleet.cells.directory import Directory
from dunlinloft.fleet.cells.index import CellIndex, CellRecord, ServiceSums, count_members
from dunlinloft.fleet.cells.member_count import CellMemberCount
from dunlinloft.fleet.cells.messages import LookupRequest, LookupResponse, SummaryReport
from dunlinloft.fleet.cells.partition import UNDIVIDED, CellPartition, name_path
from dunlinloft.fleet.cells.service_totals import ServiceTotals
from dunlinloft.fleet.cells.wire import CellWire
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import DEAD, Record
from tests import test_cell_laws as laws
from tests import test_cells as cell_tests

Patch = pytest.MonkeyPatch
adopt_partition, handle_report, sums_for = (
    CellMembership._adopt_partition,
    Directory._handle_report,
    CellIndex.sums_for,
)


def check_split_and_merge() -> None:
    cell_tests.test_a_cell_splits_and_merges_while_members_join_and_die(0)


def check_reporter_crash() -> None:
    cell_tests.test_another_member_reports_for_the_cell_when_its_reporter_dies_or_is_stopped("kill")


def check_conflicting_partitions() -> None:
    for seed in range(4):
        cell_tests.test_members_with_conflicting_partitions_converge(seed)


def check_settled_regions() -> None:
    cell_tests.settled_fleet({"web": 9}, 10, regions=("east", "west"))


def check_wrong_cell() -> None:
    cell_tests.test_a_member_in_the_wrong_cell_finds_its_own_with_the_directory_and_without()


# Partitions


def declares_foreign_members_dead(patch: Patch) -> None:
    def faulty(self: CellMembership, partition: CellPartition, now: float) -> None:
        for member in [
            m for m in self.view.members.values() if not partition.includes_path(name_path(m.name))
        ]:
            if member.is_alive():
                dead = Record(
                    member.name, member.incarnation, member.revision, DEAD, member.uid, member.address
                )
                dead.suspected_by = [self.name]
                self._merge_record(dead, now)
        adopt_partition(self, partition, now)

    patch.setattr(CellMembership, "_adopt_partition", faulty)


def follows_the_lesser_epoch(patch: Patch) -> None:
    def faulty(own: CellPartition, other: CellPartition, own_path: int) -> CellPartition | None:
        return other if other.key() < own.key() and other.includes_path(own_path) else None

    patch.setattr(core_module, "partition_to_follow", faulty)


def follows_only_its_own_cell(patch: Patch) -> None:
    def faulty(own: CellPartition, other: CellPartition, own_path: int) -> CellPartition | None:
        return other if other.key() > own.key() and other.includes_path(own_path) else None

    patch.setattr(laws, "partition_to_follow", faulty)


def stays_in_a_wrong_cell(patch: Patch) -> None:
    follow_by_key = partition_module.partition_to_follow
    patch.setattr(
        core_module, "partition_to_follow",
        lambda own, other, own_path: follow_by_key(own, other, own_path) if other.key() > own.key() else None,
    )  # fmt: skip


def merges_without_a_greater_epoch(patch: Patch) -> None:
    patch.setattr(
        CellPartition, "merged", lambda self, epoch: CellPartition(self.epoch, self.depth - 1, self.bits >> 1)
    )


def merges_by_its_own_epoch_alone(patch: Patch) -> None:
    patch.setattr(
        CellPartition,
        "merged",
        lambda self, epoch: CellPartition(self.epoch + 1, self.depth - 1, self.bits >> 1),
    )


def sends_no_partition(patch: Patch) -> None:
    patch.setattr(CellWire, "_prefix", lambda self: self._members + bytes(9))


def merges_foreign_records(patch: Patch) -> None:
    patch.setattr(CellMembership, "_merge_record", Membership._merge_record)


def returns_no_bootstrap_addresses(patch: Patch) -> None:
    patch.setattr(BootstrapAddresses, "addresses_toward", lambda self, path: [])


def follows_foreign_addresses_only_while_alone(patch: Patch) -> None:
    handle_lookup_response = CellMembership._handle_lookup_response

    def faulty(self: CellMembership, message: LookupResponse, now: float) -> None:
        if message.request_number or not len(self.view.alive):
            handle_lookup_response(self, message, now)

    patch.setattr(CellMembership, "_handle_lookup_response", faulty)


# Reporters


def includes_dead_members_in_the_reporter_order(patch: Patch) -> None:
    def faulty(self: CellMembership) -> bool:
        others = self.view.members.values()
        return all((self._digest_bits, self.name) < (m.digest_bits, m.name) for m in others if m.digest_bits)

    patch.setattr(CellMembership, "is_reporter", faulty)


def stops_reporting(patch: Patch) -> None:
    send_report = CellMembership._send_report
    patch.setattr(
        CellMembership, "_send_report",
        lambda self, summary: None if self._report_version > 2 else send_report(self, summary),
    )  # fmt: skip


# The directory


def is_reliable_at_once(patch: Patch) -> None:
    patch.setattr(Directory, "is_ready", lambda self, now: True)
    patch.setattr(index_module, "STABILIZATION_MS", 0.0)


def is_ready_at_once(patch: Patch) -> None:
    patch.setattr(Directory, "is_ready", lambda self, now: True)


def skips_stabilization(patch: Patch) -> None:
    patch.setattr(laws, "STABILIZATION_MS", 15_000.0)
    patch.setattr(index_module, "STABILIZATION_MS", 0.0)


def ignores_the_age_bound_in_the_directory(patch: Patch) -> None:
    patch.setattr(index_module, "MAX_REPORT_AGE_MS", math.inf)


def ignores_the_age_bound_at_members(patch: Patch) -> None:
    patch.setattr(service_totals_module, "MAX_REPORT_AGE_MS", math.inf)


def ignores_the_age_bound(patch: Patch) -> None:
    ignores_the_age_bound_in_the_directory(patch)
    ignores_the_age_bound_at_members(patch)


def ignores_the_age_of_reports(patch: Patch) -> None:
    def faulty(self: Directory, message: SummaryReport, now: float) -> None:
        message.clock_ms, message.incarnation = int(now), self.incarnation
        handle_report(self, message, now)

    patch.setattr(Directory, "_handle_report", faulty)


def drops_unreported_cells_early(patch: Patch) -> None:
    patch.setattr(index_module, "CELL_RETENTION_MS", 60_000.0)


def uses_only_the_newest_summary(patch: Patch) -> None:
    patch.setattr(CellRecord, "_current_summaries", lambda self, now: [self.latest().summary])


def sums_only_the_deepest_cells(patch: Patch) -> None:
    def faulty(cells: list[CellRecord], depth: int, bits: int, now: float) -> int:
        deepest = [
            c for c in cells if not any(c.partition.contains(o.partition) and o is not c for o in cells)
        ]
        return sum(cell.counted_members(now) for cell in deepest)

    patch.setattr(index_module, "count_members", faulty)
    patch.setattr(laws, "count_members", faulty)


def drops_a_split_cell_once_one_half_is_known(patch: Patch) -> None:
    patch.setattr(index_module, "is_covered", lambda cells, whole: bool(cells))
    patch.setattr(laws, "is_covered", lambda cells, whole: bool(cells))


def omits_other_regions(patch: Patch) -> None:
    def faulty(self: CellIndex, request: LookupRequest, now: float) -> ServiceSums:
        totals = sums_for(self, request, now)
        service = self.services.get(request.service)
        cells = service.cells.values() if service is not None else []
        totals.service_members = count_members(
            [cell for cell in cells if cell.region == request.region], 0, 0, now
        )
        return totals

    patch.setattr(CellIndex, "sums_for", faulty)


# Shares


def counts_only_its_own_cell(patch: Patch) -> None:
    def faulty(
        self: CellMemberCount,
        alive: set[str],
        now: float,
        totals: ServiceTotals | None = None,
        partition: CellPartition = UNDIVIDED,
    ) -> None:
        self._own_cell.observe(alive, now)
        self._total, self.uses_fallback = self._own_cell.total(), False

    patch.setattr(CellMemberCount, "observe", faulty)


def claims_no_service_members(patch: Patch) -> None:
    patch.setattr(CellMembership, "_claim_service_members", lambda self, now: None)


def applies_smaller_totals_at_once(patch: Patch) -> None:
    patch.setattr(CellMemberCount, "__init__", init_without_grace_period)


original_init = CellMemberCount.__init__


def init_without_grace_period(
    self: CellMemberCount, own: str, number: int, nodes: int, grace_ms: float = 0.0
) -> None:
    original_init(self, own, number, nodes, 0.0)


def uses_totals_of_another_cell(patch: Patch) -> None:
    patch.setattr(
        ServiceTotals,
        "is_usable",
        lambda self, partition, now: self.response.is_reliable and self.age_ms(now) <= 30_000.0,
    )


def uses_unreliable_responses(patch: Patch) -> None:
    patch.setattr(
        ServiceTotals, "is_usable",
        lambda self, partition, now: self.cell == partition.cell() and self.age_ms(now) <= 30_000.0,
    )  # fmt: skip


INJECTED_FAULTS: list[tuple[Callable[[Patch], None], Callable[[], None]]] = [
    (declares_foreign_members_dead, check_split_and_merge),
    (follows_the_lesser_epoch, check_split_and_merge),
    (
        follows_only_its_own_cell,
        laws.test_members_with_any_partitions_that_exchange_them_end_in_disjoint_cells,
    ),
    (
        stays_in_a_wrong_cell,
        check_wrong_cell,
    ),
    (merges_without_a_greater_epoch, check_split_and_merge),
    (merges_by_its_own_epoch_alone, laws.test_partitions_received_in_any_order_lead_to_the_same_cell),
    (sends_no_partition, check_split_and_merge),
    (merges_foreign_records, check_split_and_merge),
    (returns_no_bootstrap_addresses, cell_tests.test_new_members_find_cells_without_seeds_or_directory),
    (
        follows_foreign_addresses_only_while_alone,
        cell_tests.test_two_new_members_that_know_only_each_other_find_their_cell_without_a_directory,
    ),
    (includes_dead_members_in_the_reporter_order, check_reporter_crash),
    (stops_reporting, check_reporter_crash),
    (is_reliable_at_once, cell_tests.test_a_restarted_directory_is_reliable_only_once_it_must_know_all_cells),
    (
        is_ready_at_once,
        cell_tests.test_a_restarted_directory_is_reliable_only_once_it_must_know_all_cells,
    ),
    (skips_stabilization, laws.test_during_a_split_the_sum_is_never_less_than_before_nor_reliable_too_early),
    (ignores_the_age_bound, cell_tests.test_members_use_and_report_the_fallback_while_summaries_are_too_old),
    (
        ignores_the_age_bound_in_the_directory,
        laws.test_a_cell_without_reports_counts_until_it_is_dropped_and_no_sum_is_reliable,
    ),
    (
        ignores_the_age_bound_at_members,
        laws.test_members_of_the_own_cell_are_counted_as_seen_and_not_as_reported,
    ),
    (
        ignores_the_age_of_reports,
        laws.test_a_reports_age_counts_from_the_response_it_answers_and_a_late_one_is_rejected,
    ),
    (
        drops_unreported_cells_early,
        cell_tests.test_regions_partitioned_for_an_hour_and_back_keep_their_shares,
    ),
    (
        uses_only_the_newest_summary,
        laws.test_the_greater_of_two_reports_counts_and_the_last_members_leave_ends_the_cell,
    ),
    (sums_only_the_deepest_cells, laws.test_a_sum_is_never_less_than_the_members_of_the_cells),
    (
        drops_a_split_cell_once_one_half_is_known,
        laws.test_a_cell_is_covered_where_each_path_in_it_is_in_a_subset,
    ),
    (omits_other_regions, check_settled_regions),
    (counts_only_its_own_cell, check_split_and_merge),
    (
        claims_no_service_members,
        cell_tests.test_a_new_member_takes_no_greater_share_than_the_others_without_a_directory,
    ),
    (
        applies_smaller_totals_at_once,
        laws.test_a_smaller_total_counts_only_once_it_is_reliable_lasting_and_a_majority,
    ),
    (
        uses_totals_of_another_cell,
        laws.test_a_share_never_grows_by_a_split_nor_while_the_directory_is_unavailable,
    ),
    (
        uses_unreliable_responses,
        laws.test_a_share_never_grows_by_a_split_nor_while_the_directory_is_unavailable,
    ),
]


@pytest.mark.parametrize("fault, test", INJECTED_FAULTS, ids=[fault.__name__ for fault, _ in INJECTED_FAULTS])
def test_an_injected_fault_is_detected(
    fault: Callable[[Patch], None], test: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        test()
