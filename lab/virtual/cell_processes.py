"""Processes of cell members and of the directory, assembled as hosts do; see `lab.virtual.cells`."""

from __future__ import annotations

import math

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.core import CellMembership
from dunlinloft.fleet.cells.directory import Directory
from dunlinloft.fleet.cells.member_count import CellMemberCount
from dunlinloft.fleet.cells.partition import CellPartition
from dunlinloft.fleet.cells.wire import CellWire, DirectoryWire
from dunlinloft.fleet.member_count import MemberCount
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import Message, State
from dunlinloft.fleet.wire import Wire
from lab.lines import DirectedLink, Links
from lab.names import Names
from lab.virtual.fleet import Fleet
from lab.virtual.meeting import MembershipNetwork, Process

FLEET = "loft"


class HostedCellMembership(CellMembership):
    """A membership core that takes its member count from the host's census."""

    census: CellMemberCount

    def counted_members(self) -> int:
        """Return the member count of the census."""
        return self.census.cell()


class GroupLinks(Links):
    """Links between groups of processes, so that their number does not grow with the number of processes."""

    def __init__(self, groups: dict[str, str], names: Names, jitter: float, fleet: Fleet) -> None:
        super().__init__(names, 0.2, 10.0, jitter, fleet, fleet.seed)
        self._groups = groups

    def between(self, source: str, target: str) -> DirectedLink:
        """Return the link from one process to another, shared by all processes of their groups."""
        return super().between(self._groups[source], self._groups[target])


class Member(Process):
    """A member process: core, wire format and census."""

    def __init__(
        self, network: MembershipNetwork, name: str, core: Membership, service: str, region: str
    ) -> None:
        super().__init__(network, name, core)
        self.service, self.region = service, region
        self.wire: CellWire | Wire = Wire(FLEET)
        self.census: CellMemberCount | MemberCount

    def recount(self) -> None:
        """Update the census; hosts do this periodically and when new totals arrive."""
        alive_names = {member.name for member in self.core.view.members.values() if member.is_alive()} | {
            self.name
        }
        if isinstance(self.census, CellMemberCount) and isinstance(self.core, CellMembership):
            self.census.observe(alive_names, self.now(), self.core.service_totals, self.core.partition)
        elif isinstance(self.census, MemberCount):
            self.census.observe(alive_names, self.now())

    def fallback(self) -> bool:
        """Return whether the directory's totals are missing or outdated."""
        return isinstance(self.census, CellMemberCount) and self.census.uses_fallback

    def totals_age_ms(self) -> float:
        """Return the maximum age of the latest totals from the directory."""
        totals = self.core.service_totals if isinstance(self.core, CellMembership) else None
        return totals.age_ms(self.now()) if totals is not None else math.inf

    def part(self) -> float:
        """Return the member's share of a budget."""
        return 1.0 / self.census.position()[1]


class DirectoryProcess(Process):
    """A directory process: its membership among the directory processes, and its directory core."""

    def __init__(self, network: MembershipNetwork, name: str, core: Membership, directory: Directory) -> None:
        super().__init__(network, name, core)
        self.directory = directory
        self.wire, self.link = Wire(FLEET + ".directory"), DirectoryWire(FLEET)

    def peers(self) -> dict[str, int]:
        """Return the live directory processes with their incarnations."""
        return {m.name: m.incarnation for m in self.core.view.members.values() if m.is_alive()}


def encode(process: Process, message: api.AnyMessage) -> bytes:
    """Encode a message in the process's wire format."""
    if isinstance(process, DirectoryProcess) and not isinstance(message, Message):
        return process.link.write(message)
    assert isinstance(process, Member | DirectoryProcess)
    if isinstance(process.wire, CellWire):
        return process.wire.write(message)
    assert isinstance(message, Message)
    return process.wire.write(message)


def read(process: Process, data: bytes) -> tuple[api.AnyMessage, CellPartition | None]:
    """Decode a datagram into its message and the sender's partition; raises `MessageRejected`."""
    if isinstance(process, DirectoryProcess) and process.link.accepts(data):
        return process.link.read(data), None
    assert isinstance(process, Member | DirectoryProcess)
    if isinstance(process.wire, CellWire):
        return process.wire.read(data)
    return process.wire.read(data), None


def read_state(process: Process, data: bytes) -> tuple[State, CellPartition | None]:
    """Decode a view and its sender's partition."""
    assert isinstance(process, Member | DirectoryProcess)
    if isinstance(process.wire, CellWire):
        return process.wire.read_state(data)
    return process.wire.read_state(data), None
