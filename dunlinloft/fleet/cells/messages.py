"""What members and the directory say to each other; `dunlinloft.fleet.cells.wire` puts it into bytes.

Written as arrays, so a later version may add fields at the end, which an older one skips.
"""

from __future__ import annotations

from msgspec import Struct

MOST_ADDRESSES = 4  # of a cell that a summary names


class Summary(Struct, array_like=True, gc=False):
    """A cell as others know it: never its members, only their sum and some addresses."""

    epoch: int
    depth: int
    bits: int
    members: int  # that are there; 0: the last one has gone
    counted: int  # among whom budgets are parted: those that are missed may still count
    digest: int  # of the view
    load: float  # requests in flight, about
    program: str  # the least version that a member runs
    addresses: list[str]


class Find(Struct, array_like=True, tag=31, gc=False):
    """Where do I belong, and how many are there of us elsewhere?"""

    number: int
    name: str
    service: str
    region: str
    epoch: int
    depth: int
    bits: int


class Found(Struct, array_like=True, tag=32, gc=False):
    """What the directory knows of the asker's service, and how old the oldest of it is.

    With number 0 it is a member's word to a stranger: only addresses to ask.
    """

    number: int
    life: int  # of the directory's process
    stamp: int  # its clock in ms, to be given back with a report
    epoch: int
    depth: int
    bits: int
    addresses: list[str]  # of members of the asker's cell
    total: int = 0  # members of the service that count, in all regions
    own: int = -1  # of these in the asker's cell; -1: that is not told apart
    before: int = 0  # of these in cells before the asker's
    cells: int = 0
    sure: bool = False  # whether all of it is whole and within the bound
    age_ms: int = 0
    sibling: int = -1  # members of the other half; -1: it is not one cell, or not known well enough
    sibling_epoch: int = 0
    sibling_addresses: list[str] = []


class Report(Struct, array_like=True, tag=33, gc=False):
    """A cell's summary by one of its members, as an answer to `Found`: so its age has a bound."""

    life: int
    stamp: int
    name: str
    writer_life: int
    version: int
    service: str
    region: str
    summary: Summary


Message = Find | Found | Report
