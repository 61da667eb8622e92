"""Load generator for a directory: cells of all services and regions that only send lookups and reports.

Each cell is one process acting for all its members: every member sends lookups, and the response to one of
them, the reporter, is answered with a summary report. The directory's side runs in full, and nothing else.
"""

from __future__ import annotations

import random

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.messages import CellSummary, LookupRequest, LookupResponse, SummaryReport
from dunlinloft.fleet.cells.partition import CellPartition
from dunlinloft.fleet.cells.wire import DirectoryWire
from dunlinloft.fleet.membership.core import Membership
from lab.virtual.cell_processes import FLEET, DirectoryProcess
from lab.virtual.cells import CellFleet
from lab.virtual.meeting import MembershipNetwork, Process

REGIONS = tuple(f"region-{n}" for n in range(5))
LOOKUP_INTERVAL_MS = 10_000.0
WALL_MS = 1_700_000_000_000


class SimulatedCell(Process):
    """All members of one cell, as seen by the directory."""

    def __init__(self, network: MembershipNetwork, name: str, service: str, region: str, size: int) -> None:
        core = Membership(name, f"addr:{name}", [], 1, WALL_MS, random.Random(0))
        super().__init__(network, name, core)
        self.service, self.region, self.size = service, region, size
        self.lookups_sent = self.version = 0
        self.answers, self.reliable = 0, 0


class DirectoryLoadFleet(CellFleet):
    """A directory of many processes, and one simulated cell per service and region."""

    def __init__(self, cells: int, members: float, seed: int, directory_names: int) -> None:
        super().__init__({}, seed, regions=REGIONS, directory=directory_names)
        self._wire = DirectoryWire(FLEET)
        self.simulated_cells: list[SimulatedCell] = []
        assigned = 0
        for n in range(cells):
            size = round(members * (n + 1)) - assigned
            assigned += size
            service, region = f"service-{n // len(REGIONS):03}", REGIONS[n % len(REGIONS)]
            cell = SimulatedCell(self, f"cell-{n}", service, region, size)
            self.groups[cell.name] = f"{region}-{'abc'[n // len(REGIONS) % 3]}"
            self.zones[self.groups[cell.name]] = self.groups[cell.name]
            self.by_address[cell.core.address] = cell
            self.simulated_cells.append(cell)
            for member in range(size):
                self.after(LOOKUP_INTERVAL_MS * self.rng.random(), self._send_lookup, cell, member)

    def _send_lookup(self, cell: SimulatedCell, member: int) -> None:
        """Send a member's lookup; request numbers encode the member, and member 0 is the reporter."""
        cell.lookups_sent += 1
        name = f"{cell.service}-{member:04}"
        lookup = LookupRequest(cell.lookups_sent * 64 + member, name, cell.service, cell.region, 0, 0, 0)
        self._send(cell, self.rng.choice(self.directory_names), lookup)
        self.after(LOOKUP_INTERVAL_MS * (0.9 + 0.2 * self.rng.random()), self._send_lookup, cell, member)

    def _send(
        self, cell: SimulatedCell, directory_process: str, message: LookupRequest | SummaryReport
    ) -> None:
        data = self._wire.write(message)
        for delay_ms in self.lines.between(cell.name, directory_process).datagram(len(data)):
            self.after(delay_ms, self.arrive, f"addr:{directory_process}", cell.core.address, data)

    def arrive(self, address: str, source: str, data: bytes) -> None:
        """Deliver a datagram to a cell or to a directory process."""
        cell = self.by_address.get(address)
        if not isinstance(cell, SimulatedCell):
            return super().arrive(address, source, data)
        response = self._wire.read(data)
        assert isinstance(response, LookupResponse)
        cell.answers += 1
        cell.reliable += response.is_reliable
        if response.request_number % 64:
            return
        cell.version += 1
        addresses = [f"127.16.{n}.{len(cell.name)}:7400" for n in range(10, 10 + min(4, cell.size))]
        summary = CellSummary(0, 0, 0, cell.size, cell.size, 1 << 62, 8.0 * cell.size, "0.1.0", addresses)
        report = SummaryReport(
            response.incarnation, response.clock_ms, f"{cell.service}-0000", WALL_MS, cell.version,
            cell.service, cell.region, summary,
        )  # fmt: skip
        self._send(cell, source.removeprefix("addr:"), report)

    def known(self, directory_process: DirectoryProcess) -> int:
        """Return the number of cells that a directory process knows with correct totals."""
        expected_sizes = {(m.service, m.region): m.size for m in self.simulated_cells}
        return sum(
            expected_sizes.get((name, cell.region)) == cell.members(self.now())
            and cell.partition == CellPartition()
            for name, service in directory_process.directory.index.services.items()
            for cell in service.cells.values()
        )

    def reliable_share(self) -> float:
        """Return the share of responses that were marked reliable."""
        return sum(m.reliable for m in self.simulated_cells) / max(
            1, sum(m.answers for m in self.simulated_cells)
        )

    def give(self, process: Process, event: api.Event) -> None:
        """Ignore events for simulated cells, which have no core."""
        if not isinstance(process, SimulatedCell):
            super().give(process, event)
