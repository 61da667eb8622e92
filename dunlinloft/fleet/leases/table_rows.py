"""Limits of the rows of the state table, and their division into pages that fit a message."""

from __future__ import annotations

from dunlinloft.fleet.leases.messages import TableRow

STATE_TABLE_ROLE = "ledger"  # the role whose leader is the table's primary, as named on the wire
MAX_ROWS = 1_000
MAX_KEY_BYTES = 64
MAX_VALUE_BYTES = 512
PAGE_BYTES = 1_000  # rows in one message, so that it fits a datagram (`fleet.wire`: 1,400)
ROW_OVERHEAD_BYTES = 24  # encoded size of a row in addition to its key and value


def estimated_size(row: TableRow) -> int:
    """Return the estimated encoded size of a row in bytes."""
    return ROW_OVERHEAD_BYTES + len(row.key.encode()) + len(row.value)


def paginate(rows: list[TableRow]) -> list[list[TableRow]]:
    """Divide rows into pages that each fit a message; returns at least one page, which may be empty."""
    pages = [list[TableRow]()]
    remaining_bytes = PAGE_BYTES
    for row in rows:
        if estimated_size(row) > remaining_bytes and pages[-1]:
            pages.append([])
            remaining_bytes = PAGE_BYTES
        pages[-1].append(row)
        remaining_bytes -= estimated_size(row)
    return pages


def page_after(rows: dict[str, TableRow], after_key: str) -> tuple[list[TableRow], bool]:
    """Return the page of rows, sorted by key, after a key, and whether more rows follow it."""
    rest = [rows[key] for key in sorted(rows) if key > after_key]
    first = paginate(rest)[0]
    return first, len(first) < len(rest)


def merge_row(rows: dict[str, TableRow], row: TableRow) -> None:
    """Store a row unless one with the same or a later version is stored."""
    present = rows.get(row.key)
    if present is None or present.version() < row.version():
        rows[row.key] = row
