"""Reads the state table from several replicas, page by page.

Used by the primary when it acquires the lease, and by a replica that has started without memory.
"""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.fleet.leases.messages import SendMessage, TablePage, TableRead, TableRow
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE, merge_row


@dataclass(slots=True, frozen=True)
class ReadResult:
    """The combined result of the replicas that were read."""

    base_token: int  # the greatest of these replicas
    highest_token: int  # presented by any primary to any of them
    rows_lost: bool  # acknowledged rows may be missing
    rows: dict[str, TableRow]  # of the replicas with the greatest base


class TableReadSession:
    """One read of several replicas, each within a single incarnation of the replica.

    Rows of two incarnations must not be mixed, as the later one may have lost rows that the earlier one had.
    """

    def __init__(self, read_id: int) -> None:
        self.read_id = read_id  # pages of other sessions are ignored
        self._after_key: dict[str, str] = {}  # by replica: the key after which its next page begins
        self._rows: dict[str, dict[str, TableRow]] = {}
        self._incarnations: dict[str, int] = {}
        self.last_pages: dict[str, TablePage] = {}  # of the replicas that were completely read

    def after_key(self, replica: str) -> str:
        """Return the key after which this replica's next page begins."""
        return self._after_key.get(replica, "")

    def request(self, replica: str, token: int, voters_epoch: int) -> SendMessage:
        """Return the request for a replica's next page; `token` is the primary's, or 0 from a replica."""
        read = TableRead(STATE_TABLE_ROLE, token, self.read_id, self.after_key(replica), voters_epoch)
        return SendMessage(replica, read)

    def requests(self, replicas: list[str], token: int, voters_epoch: int) -> list[SendMessage]:
        """Return the requests for the next pages of all replicas that were not completely read."""
        return [
            self.request(replica, token, voters_epoch)
            for replica in replicas
            if replica not in self.last_pages
        ]

    def discard(self, replica: str) -> None:
        """Discard the pages of a replica, which must be read from the beginning."""
        for state in (self._after_key, self._rows, self._incarnations, self.last_pages):
            state.pop(replica, None)

    def handle_page(self, page: TablePage, replica: str) -> bool:
        """Store a page; return whether another must be requested from this replica."""
        expected = page.read_id == self.read_id and page.after_key == self.after_key(replica)
        if not expected or replica in self.last_pages:
            return False
        if self._incarnations.setdefault(replica, page.incarnation) != page.incarnation:
            self.discard(replica)
            return True
        rows = self._rows.setdefault(replica, {})
        for row in page.rows:
            merge_row(rows, row)
        if page.has_more and page.rows:
            self._after_key[replica] = page.rows[-1].key
            return True
        self.last_pages[replica] = page
        return False

    def result(self) -> ReadResult:
        """Return the result; at least one replica must have been completely read."""
        pages = self.last_pages.values()
        base_token = max(page.base_token for page in pages)
        highest_token = max(page.highest_token for page in pages)
        rows: dict[str, TableRow] = {}
        for replica, page in self.last_pages.items():
            if page.base_token == base_token:
                for row in self._rows.get(replica, {}).values():
                    merge_row(rows, row)
        return ReadResult(base_token, highest_token, any(page.rows_lost for page in pages), rows)
