"""Services in cells and their directory in virtual time, with the real cores and wire formats.

Members have names such as `web-east-3`, directory processes such as `dir-1`. Links exist between groups of
processes, initially one per zone, so that thousands of members need few links. The host's tasks are simulated
too: encoding messages, the census for budget shares, and the directory's own membership. The oracle is in
`lab.virtual.cell_oracle`.
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
from lab.virtual.cell_meeting import CellNetwork
from lab.virtual.cell_processes import FLEET, DirectoryProcess, HostedCellMembership, Member
from lab.virtual.fleet import WALL_MS
from lab.virtual.meeting import Process

CENSUS_INTERVAL_MS = 500.0  # interval at which a host updates its census
ZONES = "abc"  # of each region
SEEDS = 3


class CellFleet(CellNetwork):
    """Members of services in several regions, and the directory."""

    def __init__(
        self, sizes: dict[str, int], seed: int, regions: tuple[str, ...] = ("east",), most: int = 8,
        directory: int = 3, core: type[Membership] = HostedCellMembership, file: int | None = None,
        make_directory: type[Directory] = Directory, census: type[CellMemberCount] = CellMemberCount,
        apart_ms: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__(seed)
        self._regions, self.most, self._core, self._file = regions, most, core, file
        self._make_directory, self._make_census = make_directory, census
        self.sizes = dict(sizes)
        self.place_of: dict[str, tuple[str, str]] = {}  # service and region of each member's name
        self.directory_names = [f"dir-{n + 1}" for n in range(directory)]
        for n, name in enumerate(self.directory_names):
            self._assign_zone(name, regions[n % len(regions)], n // len(regions))
        for service, count in sizes.items():
            for n in range(count):
                self.add(service, regions[n % len(regions)])
        for name in self.directory_names:
            self.start(name)
        for n, name in enumerate(self.names):
            if apart_ms:
                self.after(apart_ms * n, self.launch, name)
            else:
                self.start(name)

    def add(self, service: str, region: str) -> str:
        """Add a member and return its name; `start` starts it."""
        n = sum(place == (service, region) for place in self.place_of.values())
        name = f"{service}-{region}-{n}"
        self.names.append(name)
        self.place_of[name] = service, region
        self._assign_zone(name, region, n)
        return name

    def _assign_zone(self, name: str, region: str, n: int) -> None:
        self.groups[name] = zone = f"{region}-{ZONES[n % len(ZONES)]}"
        self.zones[zone] = zone

    # Processes

    def start(self, name: str, address: str = "", core: type[Membership] | None = None) -> Process:
        """Start a process without previous state."""
        own_address = address or f"addr:{name}"
        wall_ms = int(WALL_MS + self._now + self.wall_error.get(name, 0.0))
        uid, rng = (wall_ms << 16) | self.rng.getrandbits(16), random.Random(self.rng.getrandbits(64))
        if name in self.directory_names:
            seeds = [f"addr:{directory_process}" for directory_process in self.directory_names[:SEEDS]]
            core_instance = Membership(name, own_address, seeds, uid, wall_ms, rng)
            directory = self._make_directory(name, wall_ms, random.Random(rng.getrandbits(64)), self._now)
            process: Process = DirectoryProcess(self, name, core_instance, directory)
        else:
            process = self._member(name, own_address, uid, wall_ms, rng, core or self._core)
        self.by_address[own_address] = process
        self.processes[address or name] = process
        if isinstance(process, DirectoryProcess):
            self.perform_directory_actions(process, process.directory.start())
        self.give(process, api.Started())
        self.after(CENSUS_INTERVAL_MS * rng.random(), self._recount, process)
        return process

    def _member(
        self, name: str, own_address: str, uid: int, life: int, rng: random.Random, core: type[Membership]
    ) -> Member:
        service, region = self.place_of[name]
        facts: dict[str, MetadataValue] = {
            "zone": self.groups[name],
            "tier": 0.0,
            "program": "1",
            "load": 1.0,
        }
        same_service = [other for other, place in self.place_of.items() if place == (service, region)]
        seeds = [f"addr:{other}" for other in same_service[:SEEDS]]
        number, nodes = self.names.index(name), self._file or self.sizes[service]
        if not issubclass(core, CellMembership):
            member = Member(
                self, name, core(name, own_address, seeds, uid, life, rng, facts), service, region
            )
            member.census = MemberCount(name, number, nodes)
            return member
        place = CellSettings(
            service,
            region,
            self.most,
            [f"addr:{directory_process}" for directory_process in self.directory_names],
        )
        core_instance = core(name, own_address, seeds, uid, life, rng, facts, place)
        member = Member(self, name, core_instance, service, region)
        member.census = census = self._make_census(name, number, nodes)
        if isinstance(core_instance, HostedCellMembership):
            core_instance.census = census
        member.wire = CellWire(FLEET, service, region, lambda: core_instance.partition)
        return member

    def _recount(self, process: Process) -> None:
        if not process.alive:
            return
        if isinstance(process, Member):
            self.turn(process, process.recount)
        elif isinstance(process, DirectoryProcess):
            self.turn(process, self._observe_peers, process)
        self.after(CENSUS_INTERVAL_MS, self._recount, process)

    def _observe_peers(self, directory_process: DirectoryProcess) -> None:
        self.give_directory_event(
            directory_process, PeersObserved(directory_process.core.incarnation, directory_process.peers())
        )

    def changed(self, process: Process, change: api.MemberChanged) -> None:
        """Perform the host's reaction to a membership change, then notify the oracle."""
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

    # Queries

    def members(self, service: str = "") -> list[Member]:
        """Return the running members of one service, or of all."""
        return [
            p for p in self.living()
            if isinstance(p, Member) and (not service or p.service == service)
        ]  # fmt: skip

    def directory(self) -> list[DirectoryProcess]:
        """Return the running directory processes."""
        return [p for p in self.living() if isinstance(p, DirectoryProcess)]

    def at(self, name: str) -> Member:
        """Return a member by name."""
        process = self.processes[name]
        assert isinstance(process, Member)
        return process

    def partition_of(self, name: str) -> CellPartition:
        """Return a member's cell partition."""
        core = self.processes[name].core
        assert isinstance(core, CellMembership)
        return core.partition
