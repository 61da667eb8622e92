"""A member of a cell: membership within the cell, and its relation to the rest of the service.

Within a cell, membership works as in a flat fleet. This module limits it to the cell: whose records are
merged, when a cell is split or merged and how members follow, how a new member or one in a wrong cell finds
its own cell, and what is requested from and reported to the directory. Each member queries the directory
itself, so each bounds the age of the response by its own clock. Without the directory, cells continue to
work, are split, and admit new members through their seeds.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.bootstrap_addresses import BootstrapAddresses
from dunlinloft.fleet.cells.directory_lookup import DirectoryLookup
from dunlinloft.fleet.cells.messages import (
    MAX_SUMMARY_ADDRESSES,
    CellSummary,
    LookupRequest,
    LookupResponse,
    SummaryReport,
)
from dunlinloft.fleet.cells.metadata import (
    MAX_TEXT_LENGTH,
    SERVICE_MEMBERS_KEY,
    largest_claim,
    load_and_lowest_program,
    response_from_claim,
)
from dunlinloft.fleet.cells.partition import (
    MAX_DEPTH_BITS,
    CellId,
    CellPartition,
    name_path,
    partition_to_follow,
)
from dunlinloft.fleet.cells.service_totals import ServiceTotals
from dunlinloft.fleet.cells.settings import CellSettings
from dunlinloft.fleet.membership.core import LEAVE_FANOUT, Membership
from dunlinloft.fleet.membership.member import Member
from dunlinloft.fleet.membership.timers import TimerKind
from dunlinloft.fleet.messages import ALIVE, Gossip, Header, Message, MetadataValue, Record, State

DEFAULT_MAX_MEMBERS = 100  # of a cell, if the host passes no settings
CHECK_INTERVAL_MS = 1_000.0  # between checks for a split, a merge and a lookup, with jitter
SPLIT_DELAY_MS = 3_000.0  # how long a cell exceeds its bound before it is split
IMMEDIATE_SPLIT_FACTOR = 2.0  # of the bound; beyond it the cell is split at once, as when a service starts
MERGE_DELAY_MS = 20_000.0  # how long two halves are small enough before they are merged
MERGE_SIZE_RATIO = 0.5  # of the bound: the greatest total size of two halves that are merged
# A member that is alone in its cell reports only after it has searched for others for so long.
ISOLATED_REPORTER_DELAY_MS = 5_000.0
FOREIGN_SEED_RETRY_MS = 120_000.0  # before a seed of another cell is contacted again


@dataclass(frozen=True, slots=True)
class ReportedCell:
    """The subject of the last report; a new report is due at once when it changes."""

    members: int
    cell: CellId


class CellMembership(Membership):
    """The membership state machine of one process in a cell.

    Hosted like `Membership`, by `node.fleet.cells`, which overrides `counted_members` with its member count.

    Attributes
    ----------
    partition: the cell that this process belongs to.
    service_totals: the totals of the service, from the directory's last response or a member's claim.
    partition_changes, foreign_messages: counters for operators.
    """

    def __init__(
        self, name: str, address: str, seeds: list[str], uid: int, incarnation: int, rng: random.Random,
        metadata: dict[str, MetadataValue] | None = None, settings: CellSettings | None = None,
    ) -> None:  # fmt: skip
        super().__init__(name, address, seeds, uid, incarnation, rng, metadata)
        self.settings = settings or CellSettings("", "", DEFAULT_MAX_MEMBERS)
        self.partition = CellPartition()
        self.service_totals: ServiceTotals | None = None
        self.partition_changes = 0
        self.foreign_messages = 0
        self._path = name_path(name)
        self._sender_partition: CellPartition | None = None  # of the message being handled
        self._bootstrap_addresses = BootstrapAddresses(self._path)
        self._foreign_seeds_ms: dict[str, float] = {}  # seeds of other cells, and when they were found to be
        self.lookup = DirectoryLookup(self.settings.directory, rng)
        self._started_ms = 0.0
        self._report_version = 0
        # Members of the service, as claimed in our metadata while the directory is unavailable.
        self._claimed_members = 0.0
        self._last_report: ReportedCell | None = None
        self._oversized_since_ms = -1.0  # negative: the cell is not oversized
        self._mergeable_since_ms = -1.0

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Handle one event at `now` (ms, monotonic); return the resulting actions in order."""
        self._sender_partition = (
            event.sender_cell if isinstance(event, (api.MessageReceived, api.PushPullReceived)) else None
        )
        return super().handle(event, now)

    # Queries

    def is_reporter(self) -> bool:
        """Whether this member reports for its cell: the first in an order shared by members with one view."""
        own_rank = self._digest_bits, self.name
        is_alone = not len(self.view.alive)
        return (not is_alone or self._now - self._started_ms >= ISOLATED_REPORTER_DELAY_MS) and all(
            own_rank < (m.digest_bits, m.name) for m in self._listed_members() if m.status == ALIVE
        )

    def summary(self) -> CellSummary:
        """Return the summary of the cell for the directory."""
        members = list(self._listed_members())
        addresses = [m.address for m in members if m.status == ALIVE and len(m.address) <= MAX_TEXT_LENGTH]
        sample = self.rng.sample(addresses, min(MAX_SUMMARY_ADDRESSES - 1, len(addresses)))
        load, program = load_and_lowest_program([self._metadata, *(m.metadata for m in members)])
        return CellSummary(
            self.partition.epoch, self.partition.depth, self.partition.bits, self.alive_count(),
            max(self.alive_count(), self.counted_members()), self.digest(), load, program,
            [self.address, *sample],
        )  # fmt: skip

    def counted_members(self) -> int:
        """Return how many members of the cell share budgets; a host with a member count overrides it."""
        return self.alive_count()

    def _listed_members(self) -> Iterator[Member]:
        """Return the other members that are alive or suspected."""
        return (self.view.members[name] for name in self.view.alive.names())

    def _is_in_cell(self, name: str) -> bool:
        return not self.partition.depth or self.partition.includes_path(name_path(name))

    # Events

    def _start(self) -> None:
        self._started_ms = self._now
        super()._start()
        self._send_lookup()
        self.set_timer(CHECK_INTERVAL_MS * self.rng.random(), TimerKind.CELL)

    def _handle_extension_timer(self, kind: TimerKind, now: float) -> None:
        if kind is not TimerKind.CELL:
            return
        self.set_timer(CHECK_INTERVAL_MS * (0.9 + 0.2 * self.rng.random()), TimerKind.CELL)
        if self.muted:
            return
        if self.is_reporter():
            self._split_if_due(now)
            self._merge_if_due(now)
            if self._last_report != ReportedCell(self.alive_count(), self.partition.cell()):
                self.lookup.expedite(now)
        else:
            self._reset_size_timers()
        self._claim_service_members(now)
        if self.lookup.is_due(now):
            self._send_lookup()

    def _claim_service_members(self, now: float) -> None:
        """While the directory is unavailable, claim the service's size in metadata, for new members."""
        largest = largest_claim(member.metadata for member in self._listed_members())
        totals = self.service_totals
        claim = 0.0
        if totals is not None and self.lookup.is_unavailable():
            known = totals.members(self.counted_members(), self.partition)
            claim = self._claimed_members
            # The reporter may be new, so one of the others claims it as well, at random to avoid a burst.
            if self.is_reporter() or (known > largest and self.rng.random() * self.alive_count() < 1.0):
                claim = float(known)
        if claim != self._claimed_members:
            self._claimed_members = claim
            self._update_metadata({SERVICE_MEMBERS_KEY: claim})
        is_from_claim = totals is not None and not totals.response.request_number
        if largest and (totals is None or (is_from_claim and largest > totals.response.service_members)):
            self.service_totals = ServiceTotals(self.partition.cell(), now, response_from_claim(int(largest)))
            self.actions.append(api.MemberChanged(self.name, api.MemberChange.TOTALS))

    def _receive(self, message: api.AnyMessage, source: str, now: float) -> None:
        if isinstance(message, LookupResponse):
            if self.status == ALIVE:
                self._handle_lookup_response(message, now)
        else:
            super()._receive(message, source, now)

    def _handle_message(self, message: Message, source: str, now: float) -> None:
        if self.status == ALIVE:
            self._follow_sender(source, now)
            if not self._is_in_cell(message.header.name):
                self.foreign_messages += 1
            super()._handle_message(message, source, now)

    def _handle_header(self, header: Header, source: str, now: float) -> None:
        if self._is_in_cell(header.name):
            super()._handle_header(header, source, now)

    def _merge_record(self, record: Record, now: float) -> None:
        if record.name == self.name or self._is_in_cell(record.name):
            super()._merge_record(record, now)

    def _handle_push_pull(self, state: State, source: str, requested: bool, now: float) -> None:
        if self.status != ALIVE:
            return
        self._follow_sender(source, now)
        if self._is_in_cell(state.header.name):
            return super()._handle_push_pull(state, source, requested, now)
        self.foreign_messages += 1
        path = name_path(state.header.name)
        self._bootstrap_addresses.add_member(path, source, is_isolated=state.header.members == 1)
        if requested:
            self._foreign_seeds_ms[source] = now
        else:
            addresses = self._bootstrap_addresses.addresses_toward(path)
            self.send_datagram(source, LookupResponse(0, 0, 0, 0, 0, 0, addresses))

    def state_for(self, requester: State) -> State:
        """Return our state, or only our own record for a member of another cell, which is sent addresses."""
        if self._is_in_cell(requester.header.name):
            return self.state()
        return State(self.header(), [self.own_record()])

    def _leave(self) -> None:
        """Leave; the last member of a cell reports the cell's end to the directory first."""
        is_last = not len(self.view.alive) and self.is_reporter()
        if self.status == ALIVE and is_last and self.lookup.directory_clock.incarnation:
            summary = self.summary()
            summary.members = 0
            summary.counted_members = 0
            self._send_report(summary)
        super()._leave()

    # Splits and merges

    def _follow_sender(self, source: str, now: float) -> None:
        """Adopt the sender's partition if it is newer."""
        other = self._sender_partition
        partition = partition_to_follow(self.partition, other, self._path) if other is not None else None
        if partition is None:
            return
        is_wider = partition.depth < self.partition.depth
        self._adopt_partition(partition, now)
        if is_wider:
            self._push_pull(source, now)

    def _adopt_partition(self, partition: CellPartition, now: float) -> None:
        """Switch to this cell, and notify some members of the former one at once."""
        if partition.cell() == self.partition.cell():
            self.partition = partition  # only the epoch differs
            return
        notified = [self.view.members[name].address for name in self.view.alive.sample(LEAVE_FANOUT)]
        self.partition = partition
        self.partition_changes += 1
        self._reset_size_timers()
        self._bootstrap_addresses.discard_from_depth(partition.depth)
        for member in [m for m in self.view.members.values() if not self._is_in_cell(m.name)]:
            if member.is_alive():
                self._bootstrap_addresses.add_member(name_path(member.name), member.address)
            self.view.discard(member.name)
            self.actions.append(api.MemberChanged(member.name, api.MemberChange.RELEASED))
        self.view.compact()
        self.actions.append(api.MemberChanged(self.name, api.MemberChange.CELL))
        for address in notified:
            self.send_datagram(address, Gossip(self.header(), [self.own_record(include_metadata=False)]))
        self._log("cell", cut=partition.text(), epoch=partition.epoch, members=self.alive_count())
        self.lookup.expedite(now)

    def _reset_size_timers(self) -> None:
        self._oversized_since_ms = -1.0
        self._mergeable_since_ms = -1.0

    def _split_if_due(self, now: float) -> None:
        bound = self.settings.max_members
        if self.alive_count() <= bound or self.partition.depth >= MAX_DEPTH_BITS:
            self._oversized_since_ms = -1.0
            return
        if self._oversized_since_ms < 0.0:
            self._oversized_since_ms = now
        is_due = now - self._oversized_since_ms >= SPLIT_DELAY_MS
        if is_due or self.alive_count() > IMMEDIATE_SPLIT_FACTOR * bound:
            self._adopt_partition(self.partition.split_half(self._path), now)

    def _merge_if_due(self, now: float) -> None:
        totals = self.service_totals
        if totals is None or not self._fits_with_sibling(totals, now):
            self._mergeable_since_ms = -1.0
        elif self._mergeable_since_ms < 0.0:
            self._mergeable_since_ms = now
        elif now - self._mergeable_since_ms >= MERGE_DELAY_MS:
            sibling_epoch = totals.response.sibling_epoch
            merged = self.partition.merged(max(self.partition.epoch, sibling_epoch) + 1)
            if not merged.is_valid():
                return
            self._adopt_partition(merged, now)
            for address in totals.response.sibling_addresses:
                self._push_pull(address, now)

    def _fits_with_sibling(self, totals: ServiceTotals, now: float) -> bool:
        """Whether this cell and its sibling are small enough together to merge."""
        sibling_members = totals.response.sibling_members
        return (
            self.partition.depth > 0
            and totals.is_usable(self.partition, now)
            and sibling_members >= 0
            and self.alive_count() + sibling_members <= MERGE_SIZE_RATIO * self.settings.max_members
        )

    # Seeds

    def _unreached_seeds(self) -> list[str]:
        seeds = super()._unreached_seeds()
        if not len(self.view.alive):
            return seeds
        if self.service_totals is not None and self.service_totals.age_ms(self._now) < FOREIGN_SEED_RETRY_MS:
            return []  # the directory knows any member of this cell that is missing in our view
        since = self._now - FOREIGN_SEED_RETRY_MS
        return [seed for seed in seeds if self._foreign_seeds_ms.get(seed, since) <= since]

    # The directory

    def _send_lookup(self) -> None:
        lookup = self.lookup.begin(self.partition, self._now)
        if lookup is None:
            return
        partition = lookup.partition
        request = LookupRequest(
            lookup.request_number, self.name, self.settings.service, self.settings.region,
            partition.epoch, partition.depth, partition.bits,
        )  # fmt: skip
        self.send_datagram(self.lookup.address(), request)

    def _handle_lookup_response(self, response: LookupResponse, now: float) -> None:
        if response.request_number == 0:
            # From a member of another cell. It is used even if other members are known, as these may be a
            # few new ones that found only each other.
            return self._push_pull_unlisted(response.addresses, now)
        lookup = self.lookup.complete(response)
        if lookup is None:
            return
        self.service_totals = ServiceTotals(lookup.partition.cell(), lookup.sent_ms, response)
        known = CellPartition(response.epoch, response.depth, response.bits)
        partition = partition_to_follow(self.partition, known, self._path) if known.is_valid() else None
        if partition is not None:
            self._adopt_partition(partition, now)
        for address in response.sibling_addresses:
            self._bootstrap_addresses.add(lookup.partition.depth - 1, address)
        self._push_pull_unlisted(response.addresses, now)
        self.actions.append(api.MemberChanged(self.name, api.MemberChange.TOTALS))
        if self.is_reporter():
            self._send_report(self.summary())

    def _push_pull_unlisted(self, addresses: list[str], now: float) -> None:
        """Push-pull with an address that is not in our view, so new members join and partitions heal."""
        listed = {member.address for member in self._listed_members()} | {self.address}
        unlisted = [address for address in addresses if address not in listed]
        if unlisted:
            self._push_pull(self.rng.choice(unlisted), now)

    def _send_report(self, summary: CellSummary) -> None:
        self._report_version += 1
        self._last_report = ReportedCell(summary.members, self.partition.cell())
        clock = self.lookup.directory_clock
        report = SummaryReport(
            clock.incarnation, clock.clock_ms, self.name, self.incarnation, self._report_version,
            self.settings.service, self.settings.region, summary,
        )  # fmt: skip
        self.send_datagram(self.lookup.address(), report)
