"""Cells that only ask and report, to load a directory of many processes: all services in all regions.

Each cell is one process that speaks for all of its members: each asks in its turn, and the answer to one of
them, the reporter's, is answered by a report. So the directory's part is played whole, and nothing else.
"""

from __future__ import annotations

import random

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.messages import CellSummary, LookupRequest, LookupResponse, SummaryReport
from dunlinloft.fleet.cells.partition import CellPartition
from dunlinloft.fleet.cells.wire import DirectoryWire
from dunlinloft.fleet.membership.core import Membership
from lab.virtual.cell_processes import FLEET, Guide
from lab.virtual.cells import CellFleet
from lab.virtual.meeting import Meeting, Process

REGIONS = tuple(f"region-{n}" for n in range(5))
FIND_MS = 10_000.0
WALL_MS = 1_700_000_000_000


class Mouth(Process):
    """All members of one cell, as the directory sees them."""

    def __init__(self, meeting: Meeting, name: str, service: str, region: str, size: int) -> None:
        core = Membership(name, f"addr:{name}", [], 1, WALL_MS, random.Random(0))
        super().__init__(meeting, name, core)
        self.service, self.region, self.size = service, region, size
        self.asked = self.version = 0
        self.answers, self.sure = 0, 0


class Askers(CellFleet):
    """A directory of many processes, and cells, one for each service and region."""

    def __init__(self, cells: int, members: float, seed: int, guides: int) -> None:
        super().__init__({}, seed, regions=REGIONS, directory=guides)
        self._link = DirectoryWire(FLEET)
        self.mouths: list[Mouth] = []
        told = 0
        for n in range(cells):
            size = round(members * (n + 1)) - told
            told += size
            service, region = f"service-{n // len(REGIONS):03}", REGIONS[n % len(REGIONS)]
            mouth = Mouth(self, f"cell-{n}", service, region, size)
            self.groups[mouth.name] = f"{region}-{'abc'[n // len(REGIONS) % 3]}"
            self.zones[self.groups[mouth.name]] = self.groups[mouth.name]
            self.by_address[mouth.core.address] = mouth
            self.mouths.append(mouth)
            for member in range(size):
                self.after(FIND_MS * self.rng.random(), self._ask, mouth, member)

    def _ask(self, mouth: Mouth, member: int) -> None:
        """A member asks; numbers tell them apart, and the reporter is the first."""
        mouth.asked += 1
        name = f"{mouth.service}-{member:04}"
        find = LookupRequest(mouth.asked * 64 + member, name, mouth.service, mouth.region, 0, 0, 0)
        self._send(mouth, self.rng.choice(self.guides), find)
        self.after(FIND_MS * (0.9 + 0.2 * self.rng.random()), self._ask, mouth, member)

    def _send(self, mouth: Mouth, guide: str, message: LookupRequest | SummaryReport) -> None:
        data = self._link.write(message)
        for took in self.lines.between(mouth.name, guide).datagram(len(data)):
            self.after(took, self.arrive, f"addr:{guide}", mouth.core.address, data)

    def arrive(self, address: str, source: str, data: bytes) -> None:
        """A datagram comes in, at a cell or in the directory."""
        mouth = self.by_address.get(address)
        if not isinstance(mouth, Mouth):
            return super().arrive(address, source, data)
        found = self._link.read(data)
        assert isinstance(found, LookupResponse)
        mouth.answers += 1
        mouth.sure += found.is_reliable
        if found.request_number % 64:
            return
        mouth.version += 1
        some = [f"127.16.{n}.{len(mouth.name)}:7400" for n in range(10, 10 + min(4, mouth.size))]
        summary = CellSummary(0, 0, 0, mouth.size, mouth.size, 1 << 62, 8.0 * mouth.size, "0.1.0", some)
        report = SummaryReport(
            found.incarnation, found.clock_ms, f"{mouth.service}-0000", WALL_MS, mouth.version, mouth.service,
            mouth.region, summary,
        )  # fmt: skip
        self._send(mouth, source.removeprefix("addr:"), report)

    def known(self, guide: Guide) -> int:
        """How many cells a process of the directory knows with their right sums."""
        right = {(m.service, m.region): m.size for m in self.mouths}
        return sum(
            right.get((name, cell.region)) == cell.members(self.now()) and cell.partition == CellPartition()
            for name, service in guide.directory.index.services.items()
            for cell in service.cells.values()
        )

    def sure_share(self) -> float:
        """Of all answers, how many were sure."""
        return sum(m.sure for m in self.mouths) / max(1, sum(m.answers for m in self.mouths))

    def give(self, process: Process, event: api.Event) -> None:
        """Cells have no core."""
        if not isinstance(process, Mouth):
            super().give(process, event)
