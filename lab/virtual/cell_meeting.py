"""Network of cell members and directory processes in virtual time: encoded messages over links of groups.

If `timed` is set, the CPU time of the cores and of encoding and decoding is accumulated.
"""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.directory import MemberMessageReceived
from dunlinloft.fleet.cells.messages import LookupRequest, SummaryReport
from dunlinloft.fleet.messages import ApplicationMessage, State
from dunlinloft.fleet.shared_state import messages as shared
from dunlinloft.fleet.wire import MAX_DATAGRAM_BYTES, MessageRejected
from lab.lines import LinkFault
from lab.names import Names
from lab.scenario import Network, Nodes, Scenario
from lab.virtual.cell_processes import DirectoryProcess, GroupLinks, Member, encode, read, read_state
from lab.virtual.fleet import Fleet
from lab.virtual.meeting import STREAM_TIMEOUT_MS, Process

T = TypeVar("T")


class CellNetwork(Fleet):
    """Cell members and directory processes, the messages between them, and their cost."""

    def __init__(self, seed: int) -> None:
        super().__init__(0, seed)
        self.groups: dict[str, str] = {}  # by process name
        names = Names(Scenario("cells", nodes=Nodes(count=0), network=Network()))
        self.zones = names.nodes  # by group
        self.lines = GroupLinks(self.groups, names, Network().jitter, self)
        self.refused: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()  # bytes by kind of message
        self.counts: Counter[str] = Counter()  # messages by kind
        self.received_bytes: Counter[str] = Counter()  # bytes of received datagrams, by process
        self.timed = False
        self.cpu: defaultdict[str, float] = defaultdict(float)  # seconds, by role and activity

    def _timed(self, what: str, process: Process, do: Callable[..., T], *args: Any) -> T:
        """Call `do` and add its CPU time to `cpu` if `timed` is set."""
        if not self.timed:
            return do(*args)
        started = time.process_time()
        result = do(*args)
        role = "directory" if isinstance(process, DirectoryProcess) else "member"
        self.cpu[f"{role} {what}"] += time.process_time() - started
        return result

    # Cores

    def give(self, process: Process, event: api.Event) -> None:
        """Pass an event to a core and perform the resulting actions."""
        if process.alive:
            self.do(process, self._timed("core", process, process.core.handle, event, process.now()))

    def give_directory_event(self, guide: DirectoryProcess, event: Any) -> None:
        """Pass an event to a directory core and perform the resulting actions."""
        self.perform_directory_actions(
            guide, self._timed("core", guide, guide.directory.handle, event, guide.now())
        )

    def perform_directory_actions(self, guide: DirectoryProcess, actions: list[Any]) -> None:
        """Perform the actions of a directory core."""
        for action in actions:
            match action:
                case api.SendDatagram():
                    self.post(guide, action.address, action.message)
                case shared.SendMessage():
                    member = guide.core.view.get(action.recipient)
                    if member is not None and member.is_alive():
                        self.post(
                            guide, member.address, ApplicationMessage(guide.core.header(), action.message)
                        )
                case shared.SetTimer():
                    event = shared.TimerFired(action.token)
                    self.after(action.delay_ms, self.turn, guide, self.give_directory_event, guide, event)

    # Bytes

    def post(self, process: Process, address: str, message: api.AnyMessage) -> None:
        """Send a datagram."""
        data, kind = self._timed("wire", process, encode, process, message), type(message).__name__
        if isinstance(message, ApplicationMessage):
            kind = type(message.content).__name__
        if len(data) > MAX_DATAGRAM_BYTES:
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
        """Deliver a datagram to the process that currently has this address."""
        target = self.by_address.get(address)
        if target is None or not target.alive:
            return
        self.received_bytes[target.name] += len(data)
        try:
            message, cut = self._timed("wire", target, read, target, data)
        except MessageRejected as reason:
            self.refused[str(reason)] += 1
            return
        if isinstance(target, DirectoryProcess) and isinstance(message, LookupRequest | SummaryReport):
            self.turn(target, self.give_directory_event, target, MemberMessageReceived(message, source))
            return
        self.receive_event(target, api.MessageReceived(message, source, cut))
        if isinstance(target, DirectoryProcess) and isinstance(message, ApplicationMessage):
            self._on_directory_message(target, message)

    def _on_directory_message(self, guide: DirectoryProcess, message: ApplicationMessage) -> None:
        if isinstance(message.content, shared.PullRequest | shared.PullResponse):
            self.turn(
                guide,
                self.give_directory_event,
                guide,
                shared.MessageReceived(message.content, message.header.name),
            )

    def _exchange(self, process: Process, address: str, state: State) -> None:
        assert isinstance(process, Member | DirectoryProcess)
        data = process.wire.write_state(state)
        self._count_stream_bytes(process, len(data))
        target = self.by_address.get(address)
        took = None if target is None else self._round_trips(process.name, target.name, 2, 1000)
        if target is None or took is None or not target.alive:
            self.after(STREAM_TIMEOUT_MS, self.turn, process, self.give, process, api.PushPullFailed(address))
            return
        self.after(
            took * 0.75,
            self.turn,
            target,
            self._on_push_pull_request,
            target,
            process,
            address,
            data,
            took * 0.25,
        )

    def _on_push_pull_request(
        self, target: Process, process: Process, address: str, data: bytes, back_ms: float
    ) -> None:
        assert isinstance(target, Member | DirectoryProcess)
        try:
            state, cut = read_state(target, data)
        except MessageRejected as reason:
            self.refused[str(reason)] += 1
            self.after(back_ms, self.turn, process, self.give, process, api.PushPullFailed(address))
            return
        answer = target.wire.write_state(target.core.state_for(state))
        self._count_stream_bytes(target, len(answer))
        sender = next((r.address for r in state.records if r.name == state.header.name), "")
        self.give(target, api.PushPullReceived(state, sender, False, cut))
        self.after(back_ms, self._on_push_pull_response, process, address, answer)

    def _on_push_pull_response(self, process: Process, address: str, data: bytes) -> None:
        state, cut = read_state(process, data)
        self.receive_event(process, api.PushPullReceived(state, address, True, cut))

    def _count_stream_bytes(self, process: Process, size: int) -> None:
        self.stream_bytes[process.name] += size
        self.kinds["State"] += size
        self.counts["State"] += 1

    # Links

    def split(self, *parts: list[str], one_way: bool = False) -> LinkFault:
        """Partition the network into parts; `lines.remove_fault` ends it."""
        group_sets = [{self.groups[name] for name in part} for part in parts]
        if any(a & b for n, a in enumerate(group_sets) for b in group_sets[:n]):
            group_sets = [self._separate_groups(part, n) for n, part in enumerate(parts)]
        pairs = frozenset(
            (a, b)
            for i, source_groups in enumerate(group_sets)
            for j, target_groups in enumerate(group_sets)
            if (i < j if one_way else i != j)
            for a in source_groups
            for b in target_groups
        )
        link_fault = LinkFault(pairs, cut=True)
        self.lines.add_fault(link_fault)
        return link_fault

    def _separate_groups(self, part: list[str], n: int) -> set[str]:
        """Move processes that share a group with others into new groups; no link fault may be active yet."""
        for name in part:
            zone = self.groups[name].partition("~")[0]
            self.groups[name] = group = f"{zone}~{n}"
            self.zones[group] = zone
        return {self.groups[name] for name in part}

    def lose(
        self, share: float, duplicate: float = 0.0, reorder: float = 0.0, jitter_ms: float = 0.0
    ) -> LinkFault:
        """Add packet loss, and optionally duplication, reordering and jitter, to all links."""
        pairs = frozenset((a, b) for a in self.zones for b in self.zones)
        link_fault = LinkFault(pairs, loss=share, jitter_ms=jitter_ms, duplicate=duplicate, reorder=reorder)
        self.lines.add_fault(link_fault)
        return link_fault
