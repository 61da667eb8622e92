"""What a member knows of its service beyond its own cell."""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.fleet.cells.messages import LookupResponse
from dunlinloft.fleet.cells.partition import CellId, CellPartition

MAX_REPORT_AGE_MS = 30_000.0  # older reports are stale, at the directory and at members
CLOCK_DRIFT_RATIO = 0.02  # greatest assumed difference between the rates of two clocks


@dataclass(slots=True)
class ServiceTotals:
    """A response of the directory, and when it was requested.

    Parameters
    ----------
    cell: the requester's at the time of the request.
    requested_ms: by the requester's clock.
    response: as received.
    """

    cell: CellId
    requested_ms: float
    response: LookupResponse

    def age_ms(self, now: float) -> float:
        """Return an upper bound on the age of the oldest report that the response is based on."""
        return self.response.age_ms + (now - self.requested_ms) * (1.0 + CLOCK_DRIFT_RATIO)

    def is_usable(self, partition: CellPartition, now: float) -> bool:
        """Whether decisions may be based on it: it is for this cell, complete, and within the age bound."""
        return (
            self.response.is_reliable
            and self.cell == partition.cell()
            and self.age_ms(now) <= MAX_REPORT_AGE_MS
        )

    def members(self, own: int, partition: CellPartition) -> int:
        """Return the service's members, given `own` in this process's cell, which is now `partition`."""
        response = self.response
        has_separate_count = response.own_cell_members >= 0 and self.cell == partition.cell()
        return max(
            own,
            response.service_members - response.own_cell_members + own
            if has_separate_count
            else response.service_members,
        )
