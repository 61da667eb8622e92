"""Services in cells and their directory in virtual time: the real cores and the real bytes.

Members are known by names as `web-east-3`, the directory's processes as `dir-1`. Links differ by groups of
processes, at first those of a zone, so that thousands of members need few of them. What a host does with
its core is done here too: messages as bytes, the census of parts, the directory's own membership. The
oracle is in `lab.virtual.cell_oracle`.
"""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from typing import Any

from fleet import interface as api
from fleet.cells.core import CellMembership, Place
from fleet.cells.cut import Cut, path
from fleet.cells.directory import Directory, Said, Seen
from fleet.cells.messages import Find, Report
from fleet.cells.totals import CellCensus
from fleet.cells.wire import CellWire
from fleet.census import Census
from fleet.membership.core import Membership
from fleet.messages import About, Fact, State
from fleet.shared import messages as shared
from fleet.wire import MOST_DATAGRAM, Refused
from lab.lines import Ill
from lab.names import Names
from lab.scenario import Network, Nodes, Scenario
from lab.virtual.cell_processes import FLEET, Guide, Hosted, Member, Paths, read_state, written
from lab.virtual.fleet import WALL_MS, Fleet
from lab.virtual.meeting import STREAM_LIMIT_MS, Process

RECOUNT_MS = 500.0  # how often a host looks at its census
ZONES = "abc"  # of each region
SEEDS = 3


class CellFleet(Fleet):
    """Members of services in regions, and the directory."""

    def __init__(
        self, sizes: dict[str, int], seed: int, regions: tuple[str, ...] = ("east",), most: int = 8,
        directory: int = 3, core: type[Membership] = Hosted, file: int | None = None,
        make_directory: type[Directory] = Directory, census: type[CellCensus] = CellCensus,
    ) -> None:  # fmt: skip
        super().__init__(0, seed)
        self._regions, self.most, self._core, self._file = regions, most, core, file
        self._make_directory, self._make_census = make_directory, census
        self.sizes = dict(sizes)
        self.groups: dict[str, str] = {}
        names = Names(Scenario("cells", nodes=Nodes(count=0), network=Network()))
        self.zones = names.nodes  # of groups
        self.lines = Paths(self.groups, names, Network().jitter, self)
        self.refused: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()  # bytes by kind of message
        self.counts: Counter[str] = Counter()  # messages by kind
        self.cpu: defaultdict[str, float] = defaultdict(float)  # seconds of this machine, by what was done
        self.timed = False
        self.place_of: dict[str, tuple[str, str]] = {}  # service and region of each member's name
        self.guides = [f"dir-{n + 1}" for n in range(directory)]
        for n, name in enumerate(self.guides):
            self._settle_in(name, regions[n % len(regions)], n // len(regions))
        for service, count in sizes.items():
            for n in range(count):
                self.add(service, regions[n % len(regions)])
        for name in [*self.guides, *self.names]:
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
            self._done(process, process.directory.begin())
        self.give(process, api.Begin())
        self.after(RECOUNT_MS * rng.random(), self._recount, process)
        return process

    def _member(
        self, name: str, at: str, uid: int, life: int, rng: random.Random, core: type[Membership]
    ) -> Member:
        service, region = self.place_of[name]
        facts: dict[str, Fact] = {"zone": self.groups[name], "tier": 0.0, "program": "1", "load": 1.0}
        like = [other for other, place in self.place_of.items() if place == (service, region)]
        seeds = [f"addr:{other}" for other in like[:SEEDS]]
        number, nodes = self.names.index(name), self._file or self.sizes[service]
        if not issubclass(core, CellMembership):
            member = Member(self, name, core(name, at, seeds, uid, life, rng, facts), service, region)
            member.census = Census(name, number, nodes)
            return member
        place = Place(service, region, self.most, [f"addr:{guide}" for guide in self.guides])
        made = core(name, at, seeds, uid, life, rng, facts, place)
        member = Member(self, name, made, service, region)
        member.census = census = self._make_census(name, number, nodes)
        if isinstance(made, Hosted):
            made.census = census
        member.wire = CellWire(FLEET, service, region, lambda: made.cut)
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
        self._guided(guide, Seen(guide.core.life, guide.here()))

    def changed(self, process: Process, change: api.Changed) -> None:
        """What a host does with it, then the oracle."""
        if isinstance(process, Member) and change.name == process.name:
            core, census = process.core, process.census
            if change.what == "cut" and isinstance(core, CellMembership) and isinstance(census, CellCensus):
                cut = core.cut
                census.keep(lambda name: cut.holds(path(name)))
            process.recount()
            self.watch(process, change)
        elif change.what == "gone":
            process.keys.pop(change.name, None)
            self.watch(process, change)
        elif change.name not in process.core.view.members:  # released in the same turn
            victim = self.processes[change.name]
            if change.what == "dead" and self.healthy(change.name, victim.core.life):
                self.false_deaths.append((self._now, process.name, change.name))
        else:
            super().changed(process, change)

    # What goes through cores, and how long that takes

    def give(self, process: Process, event: api.Event) -> None:
        """Give a core an event and do what it says."""
        if not self.timed:
            return super().give(process, event)
        begun = time.process_time()
        super().give(process, event)
        self.cpu["directory" if isinstance(process, Guide) else "member"] += time.process_time() - begun

    def _guided(self, guide: Guide, event: Any) -> None:
        begun = time.process_time() if self.timed else 0.0
        self._done(guide, guide.directory.handle(event, guide.now()))
        if self.timed:
            self.cpu["directory"] += time.process_time() - begun

    def _done(self, guide: Guide, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case api.Post():
                    self.post(guide, action.address, action.message)
                case shared.Tell():
                    member = guide.core.view.get(action.name)
                    if member is not None and member.here():
                        self.post(guide, member.address, About(guide.core.head(), action.message))
                case shared.SetTimer():
                    event = shared.Fired(action.token)
                    self.after(action.delay_ms, self.turn, guide, self._guided, guide, event)

    # Bytes

    def post(self, process: Process, address: str, message: api.Said) -> None:
        """A datagram goes out."""
        data, kind = written(process, message), type(message).__name__
        if isinstance(message, About):
            kind = type(message.content).__name__
        if len(data) > MOST_DATAGRAM:
            raise AssertionError(f"{kind} of {len(data)} bytes, seed {self.seed}")
        self.bytes[process.name] += len(data)
        self.datagrams[process.name] += 1
        self.kinds[kind] += len(data)
        self.counts[kind] += 1
        target = self.by_address.get(address)
        if target is not None:
            for took in self.lines.between(process.name, target.name).datagram(len(data)):
                self.after(took, self.arrive, address, process.core.address, data)

    def arrive(self, address: str, source: str, data: bytes) -> None:
        """A datagram comes in, at whoever is at this address by now."""
        target = self.by_address.get(address)
        if target is None or not target.alive:
            return
        try:
            if isinstance(target, Guide) and target.link.mine(data):
                asked = target.link.read(data)
                if isinstance(asked, Find | Report):
                    self.turn(target, self._guided, target, Said(asked, source))
                return
            assert isinstance(target, Member | Guide)
            if isinstance(target.wire, CellWire):
                message, cut = target.wire.read(data)
            else:
                message, cut = target.wire.read(data), None
        except Refused as reason:
            self.refused[str(reason)] += 1
            return
        self.reach_in(target, api.Heard(message, source, cut))
        if isinstance(target, Guide) and isinstance(message, About):
            self._told(target, message)

    def _told(self, guide: Guide, message: About) -> None:
        if isinstance(message.content, shared.Pull | shared.Pour):
            self.turn(guide, self._guided, guide, shared.Heard(message.content, message.head.name))

    def _exchange(self, process: Process, address: str, state: State) -> None:
        assert isinstance(process, Member | Guide)
        data = process.wire.write_state(state)
        self._streamed(process, len(data))
        target = self.by_address.get(address)
        took = None if target is None else self._round_trips(process.name, target.name, 2, 1000)
        if target is None or took is None or not target.alive:
            self.after(STREAM_LIMIT_MS, self.turn, process, self.give, process, api.Missed(address))
            return
        self.after(took * 0.75, self.turn, target, self._asked, target, process, address, data, took * 0.25)

    def _asked(self, target: Process, process: Process, address: str, data: bytes, back_ms: float) -> None:
        assert isinstance(target, Member | Guide)
        try:
            state, cut = read_state(target, data)
        except Refused as reason:
            self.refused[str(reason)] += 1
            self.after(back_ms, self.turn, process, self.give, process, api.Missed(address))
            return
        answer = target.wire.write_state(target.core.answer(state))
        self._streamed(target, len(answer))
        sender = next((r.address for r in state.records if r.name == state.head.name), "")
        self.give(target, api.Met(state, sender, False, cut))
        self.after(back_ms, self._answered, process, address, answer)

    def _answered(self, process: Process, address: str, data: bytes) -> None:
        state, cut = read_state(process, data)
        self.reach_in(process, api.Met(state, address, True, cut))

    def _streamed(self, process: Process, size: int) -> None:
        self.stream_bytes[process.name] += size
        self.kinds["State"] += size
        self.counts["State"] += 1

    # Links

    def split(self, *parts: list[str], one_way: bool = False) -> Ill:
        """Cut parts off from each other; `lines.recover` ends it."""
        sides = [{self.groups[name] for name in part} for part in parts]
        if any(a & b for n, a in enumerate(sides) for b in sides[:n]):
            sides = [self._apart(part, n) for n, part in enumerate(parts)]
        pairs = frozenset(
            (a, b)
            for i, one in enumerate(sides)
            for j, other in enumerate(sides)
            if (i < j if one_way else i != j)
            for a in one
            for b in other
        )
        ill = Ill(pairs, cut=True)
        self.lines.fall_ill(ill)
        return ill

    def _apart(self, part: list[str], n: int) -> set[str]:
        """Groups of their own for these, which lie in one with others; nothing may ail links by then."""
        for name in part:
            zone = self.groups[name].partition("~")[0]
            self.groups[name] = group = f"{zone}~{n}"
            self.zones[group] = zone
        return {self.groups[name] for name in part}

    def lose(self, share: float, duplicate: float = 0.0, reorder: float = 0.0, jitter_ms: float = 0.0) -> Ill:
        """All links lose so much, and may do worse."""
        pairs = frozenset((a, b) for a in self.zones for b in self.zones)
        ill = Ill(pairs, loss=share, jitter_ms=jitter_ms, duplicate=duplicate, reorder=reorder)
        self.lines.fall_ill(ill)
        return ill

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

    def cut_of(self, name: str) -> Cut:
        """A member's cut."""
        core = self.processes[name].core
        assert isinstance(core, CellMembership)
        return core.cut
