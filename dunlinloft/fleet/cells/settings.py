"""A member's configuration of its cell."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class CellSettings:
    """A member's service and region, the bound on a cell's size, and the directory.

    Parameters
    ----------
    service, region: a cell's members belong to one service in one region.
    max_members: bound on a cell's size; beyond it the cell is split.
    directory: addresses of the directory's processes, any of which can answer.
    """

    service: str
    region: str
    max_members: int
    directory: list[str] = field(default_factory=list)
