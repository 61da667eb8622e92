"""Messages between members and the directory; `dunlinloft.fleet.cells.wire` encodes them.

Encoded as arrays, so a later version may append fields, which an older one skips. The order of the fields and
the tags are the wire format; the names of classes and fields are not.
"""

from __future__ import annotations

from msgspec import Struct

MAX_SUMMARY_ADDRESSES = 4  # members' addresses in one summary


class CellSummary(Struct, array_like=True, gc=False):
    """A cell as others know it: aggregates over its members, and some of their addresses."""

    epoch: int
    depth: int
    bits: int
    members: int  # that are alive; 0: the last one has left
    counted_members: int  # among whom budgets are shared: missing members may still count
    digest: int  # of the view
    load: float  # requests in flight, approximately
    program: str  # the lowest version that a member runs
    addresses: list[str]


class LookupRequest(Struct, array_like=True, tag=31, gc=False):
    """A member asks which cell it belongs to, and how many members its service has in other cells."""

    request_number: int
    name: str
    service: str
    region: str
    epoch: int
    depth: int
    bits: int


class LookupResponse(Struct, array_like=True, tag=32, gc=False):
    """What the directory knows of the requester's service, and the age of the oldest report in it.

    With request number 0 it comes unrequested from a member of another cell, and holds addresses only.
    """

    request_number: int
    incarnation: int  # of the directory's process
    clock_ms: int  # of the directory's process, to be returned with a report
    epoch: int
    depth: int
    bits: int
    addresses: list[str]  # of members of the requester's cell
    service_members: int = 0  # that count, in all regions
    own_cell_members: int = -1  # of these in the requester's cell; -1: not known separately
    preceding_members: int = 0  # of these in cells ordered before the requester's
    cell_count: int = 0
    is_reliable: bool = False  # whether all of it is complete and within the bound on ages
    age_ms: int = 0
    sibling_members: int = -1  # of the other half; -1: it is not one cell, or not known well enough
    sibling_epoch: int = 0
    sibling_addresses: list[str] = []


class SummaryReport(Struct, array_like=True, tag=33, gc=False):
    """A cell's summary by one of its members, sent in reply to a `LookupResponse`.

    It returns that response's incarnation and clock, so the directory can bound its age by its own clock.
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
