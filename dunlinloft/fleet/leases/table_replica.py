"""A replica of the state table, stored by one voter in memory only.

`voting_member.VotingMember` owns it; `table_primary` describes the protocol and its source.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunlinloft.fleet.leases.messages import (
    SendMessage,
    TablePage,
    TableRead,
    TableRow,
    TableWrite,
    TableWriteAck,
    majority,
)
from dunlinloft.fleet.leases.table_read import TableReadSession
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE, merge_row, page_after


@dataclass(slots=True)
class _StagedBase:
    """Pages of an incomplete new base; pages of two transmissions must not be mixed."""

    token: int = 0
    first_write_id: int = 0
    pages: dict[int, list[TableRow]] = field(default_factory=dict)  # by index


class TableReplica:
    """One voter's copy of the table.

    It starts without memory and requests from the other replicas the highest token that a primary has
    presented, until it has responses from so many that every majority contains one of them. Then it waits for
    the complete base from a primary whose token is not lower. That primary thereby learns that the rows and
    promises of this replica's former incarnation are void. If too many other replicas have lost their memory
    too, this one continues with the rows of the rest; acknowledged rows may then be lost, which `rows_lost`
    reports.
    """

    def __init__(self, name: str, voters: list[str], incarnation: int) -> None:
        self._name = name
        self.incarnation = incarnation
        self.voters_epoch = 0
        self.set_voters(voters, 0)
        self._recovery = TableReadSession(incarnation)
        self._without_memory: set[str] = set()  # other replicas that are recovering
        self.rows: dict[str, TableRow] = {}
        self.base_token = 0
        self.highest_token = 0
        self.ready = not self._others  # False while it has not received the base
        self.reading_peers = not self.ready  # whether the highest presented token is still unknown
        self.rows_lost = False
        self._staged = _StagedBase()
        self.rejected = 0  # number of requests with an outdated token

    def set_voters(self, voters: list[str], epoch: int) -> None:
        """Replace the voter set; the new one also contains this process."""
        self.voters_epoch = epoch
        self._others = [voter for voter in voters if voter != self._name]
        self._required = len(voters) - majority(len(voters)) + 1

    def recovery_requests(self) -> list[SendMessage]:
        """Return requests to the other replicas while the highest presented token is unknown."""
        if not self.reading_peers:
            return []
        return self._recovery.requests(self._others, 0, self.voters_epoch)

    def handle_recovery_page(self, page: TablePage, sender: str) -> list[SendMessage]:
        """Handle a response to a recovery request; return the request for the next page, if any."""
        if not self.reading_peers or sender not in self._others or page.read_id != self._recovery.read_id:
            return []
        if page.recovering:
            self._without_memory.add(sender)
            self._recovery.discard(sender)
        else:
            self._without_memory.discard(sender)
            if self._recovery.handle_page(page, sender):
                return [self._recovery.request(sender, 0, self.voters_epoch)]
        self._check_recovered()
        return []

    def _check_recovered(self) -> None:
        read = {voter for voter in self._recovery.last_pages if voter in self._others}
        if len(read) >= self._required:
            self.reading_peers = False
            self.highest_token = self._recovery.result().highest_token
            self.ready = not self.highest_token  # 0: no primary, and therefore no base, ever existed
        elif read | self._without_memory >= set(self._others):
            self.reading_peers = False
            self.ready = True
            if read:
                result = self._recovery.result()
                self.base_token = result.base_token
                self.highest_token = result.highest_token
                self.rows = result.rows
                self.rows_lost = result.rows_lost or self.highest_token > 0  # 0: there were no rows to lose

    def handle_read(self, message: TableRead) -> TablePage | None:
        """Return a page for a primary, whose request has a token, or for a recovering replica."""
        if message.token:
            if not self.ready or message.token < self.highest_token:
                self.rejected += message.token < self.highest_token
                return None
            self.highest_token = message.token
        rows, has_more = page_after(self.rows, message.after_key)
        return self._page(message.token, message.read_id, message.after_key, rows, has_more)

    def _page(
        self, token: int, read_id: int, after_key: str, rows: list[TableRow], has_more: bool
    ) -> TablePage:
        return TablePage(
            STATE_TABLE_ROLE, token, read_id, after_key, self.base_token, self.highest_token,
            self.rows_lost, not self.ready, rows, has_more, self.incarnation,
        )  # fmt: skip

    def handle_write(self, message: TableWrite) -> TableWriteAck | TablePage | None:
        """Store rows of the current base, or a page of a new one, which replaces all rows once complete.

        A recovering replica responds with an empty page marked as recovering, as it needs the base first.
        """
        if self.reading_peers or message.token < self.highest_token:
            self.rejected += message.token < self.highest_token
            return None
        self.highest_token = message.token
        base_for_this = message.page_count and message.incarnation == self.incarnation
        if not self.ready and not base_for_this:
            return self._page(message.token, 0, "", [], False)
        if message.page_count and (self.base_token != message.token or not self.ready):
            self._stage(message)
        elif self.base_token != message.token:
            return None  # the base of these rows has not been received yet
        for row in message.rows if not message.page_count else ():
            merge_row(self.rows, row)
        return TableWriteAck(STATE_TABLE_ROLE, message.token, message.write_id, self.incarnation)

    def _stage(self, message: TableWrite) -> None:
        first_write_id = message.write_id - message.page_index
        if (self._staged.token, self._staged.first_write_id) != (message.token, first_write_id):
            self._staged = _StagedBase(message.token, first_write_id)
        self._staged.pages[message.page_index] = message.rows
        if len(self._staged.pages) == message.page_count:
            self.rows = {row.key: row for rows in self._staged.pages.values() for row in rows}
            self.base_token = message.token
            self.rows_lost = message.rows_lost
            self.ready = True
            self._staged.pages = {}
