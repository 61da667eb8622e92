"""Processes of services in cells and of their directory, as hosts make them; see `lab.virtual.cells`."""

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
from lab.virtual.meeting import Meeting, Process

FLEET = "loft"


class Hosted(CellMembership):
    """A core whose budgets are parted by its host's census."""

    census: CellMemberCount

    def counted_members(self) -> int:
        """As the census has it."""
        return self.census.cell()


class Paths(Links):
    """Links between groups of processes: few, however many processes there are."""

    def __init__(self, groups: dict[str, str], names: Names, jitter: float, fleet: Fleet) -> None:
        super().__init__(names, 0.2, 10.0, jitter, fleet, fleet.seed)
        self._groups = groups

    def between(self, source: str, target: str) -> DirectedLink:
        """The line from one process to another, which all of their groups share."""
        return super().between(self._groups[source], self._groups[target])


class Member(Process):
    """A member's process: its core, its bytes, its census."""

    def __init__(self, meeting: Meeting, name: str, core: Membership, service: str, region: str) -> None:
        super().__init__(meeting, name, core)
        self.service, self.region = service, region
        self.wire: CellWire | Wire = Wire(FLEET)
        self.census: CellMemberCount | MemberCount

    def recount(self) -> None:
        """What a host does now and then, and when it is told of totals."""
        here = {member.name for member in self.core.view.members.values() if member.is_alive()} | {self.name}
        if isinstance(self.census, CellMemberCount) and isinstance(self.core, CellMembership):
            self.census.observe(here, self.now(), self.core.service_totals, self.core.partition)
        elif isinstance(self.census, MemberCount):
            self.census.observe(here, self.now())

    def fallback(self) -> bool:
        """Whether it holds what the directory says for too old, or has been told nothing."""
        return isinstance(self.census, CellMemberCount) and self.census.uses_fallback

    def told_ms(self) -> float:
        """How old what the directory told it last is at most."""
        totals = self.core.service_totals if isinstance(self.core, CellMembership) else None
        return totals.age_ms(self.now()) if totals is not None else math.inf

    def part(self) -> float:
        """The share of a budget that it takes."""
        return 1.0 / self.census.position()[1]


class Guide(Process):
    """A process of the directory: its membership among its like, and what it knows of cells."""

    def __init__(self, meeting: Meeting, name: str, core: Membership, directory: Directory) -> None:
        super().__init__(meeting, name, core)
        self.directory = directory
        self.wire, self.link = Wire(FLEET + ".directory"), DirectoryWire(FLEET)

    def here(self) -> dict[str, int]:
        """Its like, with their lives."""
        return {m.name: m.incarnation for m in self.core.view.members.values() if m.is_alive()}


def written(process: Process, message: api.AnyMessage) -> bytes:
    """A message as this process says it."""
    if isinstance(process, Guide) and not isinstance(message, Message):
        return process.link.write(message)
    assert isinstance(process, Member | Guide)
    if isinstance(process.wire, CellWire):
        return process.wire.write(message)
    assert isinstance(message, Message)
    return process.wire.write(message)


def read(process: Process, data: bytes) -> tuple[api.AnyMessage, CellPartition | None]:
    """What a datagram says to this process, and its sender's cut; `MessageRejected` where it says nothing."""
    if isinstance(process, Guide) and process.link.accepts(data):
        return process.link.read(data), None
    assert isinstance(process, Member | Guide)
    if isinstance(process.wire, CellWire):
        return process.wire.read(data)
    return process.wire.read(data), None


def read_state(process: Process, data: bytes) -> tuple[State, CellPartition | None]:
    """A view as its bytes say it, and its sender's cut."""
    assert isinstance(process, Member | Guide)
    if isinstance(process.wire, CellWire):
        return process.wire.read_state(data)
    return process.wire.read_state(data), None
