"""What a member's configuration says about its cell."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class CellSettings:
    """The service and the region that a member belongs to, the bound of a cell, and the directory.

    Parameters
    ----------
    service, region: cells are made of the members of one service in one region.
    max_members: bound of a cell; beyond it the cell is split.
    directory: addresses of the directory's processes, any of which can answer.
    """

    service: str
    region: str
    max_members: int
    directory: list[str] = field(default_factory=list)
