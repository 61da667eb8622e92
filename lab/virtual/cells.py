"""Services in cells and their directory in virtual time: the real cores and the real bytes.

Members are known by names as `web-east-3`, the directory's processes as `dir-1`. Links differ by groups of
processes, at first those of a zone, so that thousands of members need few of them. What a host does with
its core is done here too: messages as bytes, the census of parts, the directory's own membership. The
oracle is in `lab.virtual.cell_oracle`.
"""

from __future__ import annotations

import random

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.core import CellMembership
from dunlinloft.fleet.cells.directory import Directory, PeersObserved
from dunlinloft.fleet.cells.member_count import CellMemberCount
from dunlinloft.fleet.cells.partition import CellPartition, name_path
from dunlinloft.fleet.cells.settings import CellSettings
from dunlinloft.fleet.cells.wire import CellWire
from dunlinloft.fleet.member_count import MemberCount
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import MetadataValue
from lab.virtual.cell_meeting import CellMeeting
from lab.virtual.cell_processes import FLEET, Guide, Hosted, Member
from lab.virtual.fleet import WALL_MS
from lab.virtual.meeting import Process

RECOUNT_MS = 500.0  # how often a host looks at its census
ZONES = "abc"  # of each region
SEEDS = 3


class CellFleet(CellMeeting):
    """Members of services in regions, and the directory."""

    def __init__(
        self, sizes: dict[str, int], seed: int, regions: tuple[str, ...] = ("east",), most: int = 8,
        directory: int = 3, core: type[Membership] = Hosted, file: int | None = None,
        make_directory: type[Directory] = Directory, census: type[CellMemberCount] = CellMemberCount,
        apart_ms: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__(seed)
        self._regions, self.most, self._core, self._file = regions, most, core, file
        self._make_directory, self._make_census = make_directory, census
        self.sizes = dict(sizes)
        self.place_of: dict[str, tuple[str, str]] = {}  # service and region of each member's name
        self.guides = [f"dir-{n + 1}" for n in range(directory)]
        for n, name in enumerate(self.guides):
            self._settle_in(name, regions[n % len(regions)], n // len(regions))
        for service, count in sizes.items():
            for n in range(count):
                self.add(service, regions[n % len(regions)])
        for name in self.guides:
            self.start(name)
        for n, name in enumerate(self.names):
            if apart_ms:
                self.after(apart_ms * n, self.launch, name)
            else:
                self.start(name)

    def add(self, service: str, region: str) -> str:
        """A name for one more member, which is started by `start`."""
        n = sum(place == (service, region) for place in self.place_of.values())
        name = f"{service}-{region}-{n}"
        self.names.append(name)
        self.place_of[name] = service, region
        self._settle_in(name, region, n)
        return name

    def _settle_in(self, name: str, region: str, n: int) -> None:
        self.groups[name] = zone = f"{region}-{ZONES[n % len(ZONES)]}"
        self.zones[zone] = zone

    # Processes

    def start(self, name: str, address: str = "", core: type[Membership] | None = None) -> Process:
        """A process starts from nothing."""
        at = address or f"addr:{name}"
        wall = int(WALL_MS + self._now + self.wall_error.get(name, 0.0))
        uid, rng = (wall << 16) | self.rng.getrandbits(16), random.Random(self.rng.getrandbits(64))
        if name in self.guides:
            seeds = [f"addr:{guide}" for guide in self.guides[:SEEDS]]
            made = Membership(name, at, seeds, uid, wall, rng)
            directory = self._make_directory(name, wall, random.Random(rng.getrandbits(64)), self._now)
            process: Process = Guide(self, name, made, directory)
        else:
            process = self._member(name, at, uid, wall, rng, core or self._core)
        self.by_address[at] = process
        self.processes[address or name] = process
        if isinstance(process, Guide):
            self.guided(process, process.directory.start())
        self.give(process, api.Started())
        self.after(RECOUNT_MS * rng.random(), self._recount, process)
        return process

    def _member(
        self, name: str, at: str, uid: int, life: int, rng: random.Random, core: type[Membership]
    ) -> Member:
        service, region = self.place_of[name]
        facts: dict[str, MetadataValue] = {
            "zone": self.groups[name],
            "tier": 0.0,
            "program": "1",
            "load": 1.0,
        }
        like = [other for other, place in self.place_of.items() if place == (service, region)]
        seeds = [f"addr:{other}" for other in like[:SEEDS]]
        number, nodes = self.names.index(name), self._file or self.sizes[service]
        if not issubclass(core, CellMembership):
            member = Member(self, name, core(name, at, seeds, uid, life, rng, facts), service, region)
            member.census = MemberCount(name, number, nodes)
            return member
        place = CellSettings(service, region, self.most, [f"addr:{guide}" for guide in self.guides])
        made = core(name, at, seeds, uid, life, rng, facts, place)
        member = Member(self, name, made, service, region)
        member.census = census = self._make_census(name, number, nodes)
        if isinstance(made, Hosted):
            made.census = census
        member.wire = CellWire(FLEET, service, region, lambda: made.partition)
        return member

    def _recount(self, process: Process) -> None:
        if not process.alive:
            return
        if isinstance(process, Member):
            self.turn(process, process.recount)
        elif isinstance(process, Guide):
            self.turn(process, self._see, process)
        self.after(RECOUNT_MS, self._recount, process)

    def _see(self, guide: Guide) -> None:
        self.guide(guide, PeersObserved(guide.core.incarnation, guide.here()))

    def changed(self, process: Process, change: api.MemberChanged) -> None:
        """What a host does with it, then the oracle."""
        if isinstance(process, Member) and change.name == process.name:
            core, census = process.core, process.census
            if (
                change.change is api.MemberChange.CELL
                and isinstance(core, CellMembership)
                and isinstance(census, CellMemberCount)
            ):
                cut = core.partition
                census.retain(lambda name: cut.includes_path(name_path(name)))
            process.recount()
            self.watch(process, change)
        elif change.change is api.MemberChange.RELEASED:
            process.keys.pop(change.name, None)
            self.watch(process, change)
        elif change.name not in process.core.view.members:  # released in the same turn
            victim = self.processes[change.name]
            if change.change is api.MemberChange.DEAD and self.healthy(change.name, victim.core.incarnation):
                self.false_deaths.append((self._now, process.name, change.name))
        else:
            super().changed(process, change)

    # Who is who

    def members(self, service: str = "") -> list[Member]:
        """Members that run, of one service or of all."""
        return [
            p for p in self.living()
            if isinstance(p, Member) and (not service or p.service == service)
        ]  # fmt: skip

    def directory(self) -> list[Guide]:
        """The directory's processes that run."""
        return [p for p in self.living() if isinstance(p, Guide)]

    def at(self, name: str) -> Member:
        """A member by its name."""
        process = self.processes[name]
        assert isinstance(process, Member)
        return process

    def cut_of(self, name: str) -> CellPartition:
        """A member's cut."""
        core = self.processes[name].core
        assert isinstance(core, CellMembership)
        return core.partition
