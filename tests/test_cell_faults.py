"""Each check of cells is checked: faults planted in the cores, and the test that has to catch each."""

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
from tests import test_cells as hard

Plant = pytest.MonkeyPatch
cut_to, report, sums = CellMembership._adopt_partition, Directory._handle_report, CellIndex.sums_for


def cuts_and_merges() -> None:
    hard.test_a_cell_splits_and_merges_while_members_join_and_die(0)


def other_speaks() -> None:
    hard.test_another_member_reports_for_the_cell_when_its_reporter_dies_or_is_stopped("kill")


def different_cuts() -> None:
    for seed in range(4):
        hard.test_members_with_different_partitions_follow_one_in_the_end(seed)


def settles() -> None:
    hard.settled({"web": 9}, 10, regions=("east", "west"))


def wrong_cell() -> None:
    hard.test_a_member_in_the_wrong_cell_finds_its_own_with_the_directory_and_without()


# Cuts


def declares_strangers_dead(plant: Plant) -> None:
    def planted(self: CellMembership, cut: CellPartition, now: float) -> None:
        for member in [m for m in self.view.members.values() if not cut.includes_path(name_path(m.name))]:
            if member.is_alive():
                dead = Record(
                    member.name, member.incarnation, member.revision, DEAD, member.uid, member.address
                )
                dead.suspected_by = [self.name]
                self._merge_record(dead, now)
        cut_to(self, cut, now)

    plant.setattr(CellMembership, "_adopt_partition", planted)


def follows_the_lesser_epoch(plant: Plant) -> None:
    def planted(own: CellPartition, other: CellPartition, own_path: int) -> CellPartition | None:
        return other if other.key() < own.key() and other.includes_path(own_path) else None

    plant.setattr(core_module, "partition_to_follow", planted)


def follows_only_its_own_cell(plant: Plant) -> None:
    def planted(own: CellPartition, other: CellPartition, own_path: int) -> CellPartition | None:
        return other if other.key() > own.key() and other.includes_path(own_path) else None

    plant.setattr(laws, "partition_to_follow", planted)


def stays_in_a_wrong_cell(plant: Plant) -> None:
    newer = partition_module.partition_to_follow
    plant.setattr(
        core_module, "partition_to_follow",
        lambda own, other, own_path: newer(own, other, own_path) if other.key() > own.key() else None,
    )  # fmt: skip


def merges_without_a_greater_epoch(plant: Plant) -> None:
    plant.setattr(
        CellPartition, "merged", lambda self, epoch: CellPartition(self.epoch, self.depth - 1, self.bits >> 1)
    )


def merges_by_its_own_epoch_alone(plant: Plant) -> None:
    plant.setattr(
        CellPartition,
        "merged",
        lambda self, epoch: CellPartition(self.epoch + 1, self.depth - 1, self.bits >> 1),
    )


def tells_no_cut(plant: Plant) -> None:
    plant.setattr(CellWire, "_prefix", lambda self: self._members + bytes(9))


def takes_strangers_in(plant: Plant) -> None:
    plant.setattr(CellMembership, "_merge_record", Membership._merge_record)


def tells_strangers_of_nobody(plant: Plant) -> None:
    plant.setattr(BootstrapAddresses, "addresses_toward", lambda self, path: [])


def follows_a_seeds_word_only_while_alone(plant: Plant) -> None:
    found = CellMembership._handle_lookup_response

    def planted(self: CellMembership, message: LookupResponse, now: float) -> None:
        if message.request_number or not len(self.view.alive):
            found(self, message, now)

    plant.setattr(CellMembership, "_handle_lookup_response", planted)


# Reporters


def counts_the_dead_when_it_asks_who_is_first(plant: Plant) -> None:
    def planted(self: CellMembership) -> bool:
        others = self.view.members.values()
        return all((self._digest_bits, self.name) < (m.digest_bits, m.name) for m in others if m.digest_bits)

    plant.setattr(CellMembership, "is_reporter", planted)


def nobody_reports_again(plant: Plant) -> None:
    told = CellMembership._send_report
    plant.setattr(
        CellMembership, "_send_report",
        lambda self, summary: None if self._report_version > 2 else told(self, summary),
    )  # fmt: skip


# The directory


def is_sure_at_once(plant: Plant) -> None:
    plant.setattr(Directory, "is_ready", lambda self, now: True)
    plant.setattr(index_module, "STABILIZATION_MS", 0.0)


def is_ready_at_once(plant: Plant) -> None:
    plant.setattr(Directory, "is_ready", lambda self, now: True)


def settles_at_once(plant: Plant) -> None:
    plant.setattr(laws, "STABILIZATION_MS", 15_000.0)
    plant.setattr(index_module, "STABILIZATION_MS", 0.0)


def ignores_the_bound_in_the_directory(plant: Plant) -> None:
    plant.setattr(index_module, "MAX_REPORT_AGE_MS", math.inf)


def ignores_the_bound_at_members(plant: Plant) -> None:
    plant.setattr(service_totals_module, "MAX_REPORT_AGE_MS", math.inf)


def ignores_the_bound(plant: Plant) -> None:
    ignores_the_bound_in_the_directory(plant)
    ignores_the_bound_at_members(plant)


def takes_a_report_for_new(plant: Plant) -> None:
    def planted(self: Directory, message: SummaryReport, now: float) -> None:
        message.clock_ms, message.incarnation = int(now), self.incarnation
        report(self, message, now)

    plant.setattr(Directory, "_handle_report", planted)


def forgets_a_silent_cell_soon(plant: Plant) -> None:
    plant.setattr(index_module, "CELL_RETENTION_MS", 60_000.0)


def believes_the_youngest_word_alone(plant: Plant) -> None:
    plant.setattr(CellRecord, "_current_summaries", lambda self, now: [self.latest().summary])


def adds_up_only_the_smallest_parts(plant: Plant) -> None:
    def planted(cells: list[CellRecord], depth: int, bits: int, now: float) -> int:
        deepest = [
            c for c in cells if not any(c.partition.contains(o.partition) and o is not c for o in cells)
        ]
        return sum(cell.counted_members(now) for cell in deepest)

    plant.setattr(index_module, "count_members", planted)
    plant.setattr(laws, "count_members", planted)


def drops_a_cut_cell_once_one_half_is_known(plant: Plant) -> None:
    plant.setattr(index_module, "is_covered", lambda cells, whole: bool(cells))
    plant.setattr(laws, "is_covered", lambda cells, whole: bool(cells))


def forgets_other_regions(plant: Plant) -> None:
    def planted(self: CellIndex, find: LookupRequest, now: float) -> ServiceSums:
        told = sums(self, find, now)
        service = self.services.get(find.service)
        cells = service.cells.values() if service is not None else []
        told.service_members = count_members(
            [cell for cell in cells if cell.region == find.region], 0, 0, now
        )
        return told

    plant.setattr(CellIndex, "sums_for", planted)


# Parts


def takes_its_cell_for_the_whole(plant: Plant) -> None:
    def planted(
        self: CellMemberCount,
        here: set[str],
        now: float,
        totals: ServiceTotals | None = None,
        cut: CellPartition = UNDIVIDED,
    ) -> None:
        self._own_cell.observe(here, now)
        self._total, self.uses_fallback = self._own_cell.total(), False

    plant.setattr(CellMemberCount, "observe", planted)


def tells_newcomers_nothing(plant: Plant) -> None:
    plant.setattr(CellMembership, "_claim_service_members", lambda self, now: None)


def shrinks_at_once(plant: Plant) -> None:
    plant.setattr(CellMemberCount, "__init__", at_once)


init = CellMemberCount.__init__


def at_once(self: CellMemberCount, own: str, number: int, nodes: int, hold_ms: float = 0.0) -> None:
    init(self, own, number, nodes, 0.0)


def uses_totals_of_another_cell(plant: Plant) -> None:
    plant.setattr(
        ServiceTotals,
        "is_usable",
        lambda self, cut, now: self.response.is_reliable and self.age_ms(now) <= 30_000.0,
    )


def believes_an_unsure_answer(plant: Plant) -> None:
    plant.setattr(
        ServiceTotals, "is_usable",
        lambda self, cut, now: self.cell == cut.cell() and self.age_ms(now) <= 30_000.0,
    )  # fmt: skip


CAUGHT: list[tuple[Callable[[Plant], None], Callable[[], None]]] = [
    (declares_strangers_dead, cuts_and_merges),
    (follows_the_lesser_epoch, cuts_and_merges),
    (
        follows_only_its_own_cell,
        laws.test_members_with_any_partitions_that_exchange_them_end_in_disjoint_cells,
    ),
    (
        stays_in_a_wrong_cell,
        wrong_cell,
    ),
    (merges_without_a_greater_epoch, cuts_and_merges),
    (merges_by_its_own_epoch_alone, laws.test_partitions_received_in_any_order_lead_to_the_same_cell),
    (tells_no_cut, cuts_and_merges),
    (takes_strangers_in, cuts_and_merges),
    (tells_strangers_of_nobody, hard.test_newcomers_find_cells_in_which_no_seed_is_without_a_directory),
    (
        follows_a_seeds_word_only_while_alone,
        hard.test_two_that_found_only_each_other_find_their_cell_without_a_directory,
    ),
    (counts_the_dead_when_it_asks_who_is_first, other_speaks),
    (nobody_reports_again, other_speaks),
    (is_sure_at_once, hard.test_a_restarted_directory_is_reliable_only_once_it_must_know_all_cells),
    (
        is_ready_at_once,
        hard.test_a_restarted_directory_is_reliable_only_once_it_must_know_all_cells,
    ),
    (settles_at_once, laws.test_during_a_split_the_sum_is_never_less_than_before_nor_reliable_too_early),
    (ignores_the_bound, hard.test_summaries_beyond_their_bound_use_the_fallback_and_say_so),
    (
        ignores_the_bound_in_the_directory,
        laws.test_a_cell_without_reports_counts_until_it_is_dropped_and_no_sum_is_reliable,
    ),
    (ignores_the_bound_at_members, laws.test_members_of_the_own_cell_are_counted_as_seen_and_not_as_reported),
    (
        takes_a_report_for_new,
        laws.test_a_reports_age_counts_from_the_response_it_answers_and_a_late_one_is_rejected,
    ),
    (forgets_a_silent_cell_soon, hard.test_regions_partitioned_for_an_hour_and_back_keep_their_shares),
    (
        believes_the_youngest_word_alone,
        laws.test_the_greater_of_two_reports_counts_and_the_last_members_leave_ends_the_cell,
    ),
    (adds_up_only_the_smallest_parts, laws.test_a_sum_is_never_less_than_the_members_of_the_cells),
    (
        drops_a_cut_cell_once_one_half_is_known,
        laws.test_a_cell_is_covered_where_each_path_in_it_is_in_a_subset,
    ),
    (forgets_other_regions, settles),
    (takes_its_cell_for_the_whole, cuts_and_merges),
    (
        tells_newcomers_nothing,
        hard.test_a_newcomer_takes_no_greater_share_than_the_others_without_a_directory,
    ),
    (shrinks_at_once, laws.test_a_smaller_total_counts_only_once_it_is_reliable_lasting_and_a_majority),
    (
        uses_totals_of_another_cell,
        laws.test_a_share_never_grows_by_a_split_nor_while_the_directory_is_unavailable,
    ),
    (
        believes_an_unsure_answer,
        laws.test_a_share_never_grows_by_a_split_nor_while_the_directory_is_unavailable,
    ),
]


@pytest.mark.parametrize("fault, test", CAUGHT, ids=[fault.__name__ for fault, _ in CAUGHT])
def test_a_planted_fault_is_caught(
    fault: Callable[[Plant], None], test: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        test()
