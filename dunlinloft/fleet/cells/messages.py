"""Messages between members and the directory; `dunlinloft.fleet.cells.wire` encodes them.

They are encoded as arrays, so a later version may append fields, which an older one skips. The order of the
fields and the tags are part of the wire format; the names of classes and fields are not.
"""

from __future__ import annotations

from msgspec import Struct

MAX_SUMMARY_ADDRESSES = 4  # member addresses in one summary


class CellSummary(Struct, array_like=True, gc=False):
    """The summary of a cell: aggregates over its members, and some of their addresses."""

    epoch: int
    depth: int
    bits: int
    members: int  # live members; 0: the last one has left
    counted_members: int  # members that share budgets; missing members may still count
    digest: int  # of the view
    load: float  # approximate number of requests in flight
    program: str  # lowest version that a member runs
    addresses: list[str]


class LookupRequest(Struct, array_like=True, tag=31, gc=False):
    """A member's request for its cell, and for the number of members in its service's other cells."""

    request_number: int
    name: str
    service: str
    region: str
    epoch: int
    depth: int
    bits: int


class LookupResponse(Struct, array_like=True, tag=32, gc=False):
    """The directory's knowledge of the requester's service, and the age of the oldest report in it.

    With request number 0 it is an unsolicited message from a member of another cell, with addresses only.
    """

    request_number: int
    incarnation: int  # of the directory's process
    clock_ms: int  # of the directory's process, to be returned with a report
    epoch: int
    depth: int
    bits: int
    addresses: list[str]  # of members of the requester's cell
    service_members: int = 0  # members that count, in all regions
    own_cell_members: int = -1  # those in the requester's cell; -1: not known separately
    preceding_members: int = 0  # those in cells that precede the requester's
    cell_count: int = 0
    is_reliable: bool = False  # whether the data is complete and within the age bound
    age_ms: int = 0
    sibling_members: int = -1  # of the sibling cell; -1: not a single cell, or not reliably known
    sibling_epoch: int = 0
    sibling_addresses: list[str] = []


class SummaryReport(Struct, array_like=True, tag=33, gc=False):
    """A member's summary of its cell, sent in reply to a `LookupResponse`.

    It returns the response's incarnation and clock, so the directory can bound its age by its own clock.
    """

    incarnation: int
    clock_ms: int
    name: str
    reporter_incarnation: int
    version: int
    service: str
    region: str
    summary: CellSummary


Message = LookupRequest | LookupResponse | SummaryReport
