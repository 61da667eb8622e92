"""How virtual processes that host membership reach each other: datagrams and streams over the lab's links."""

from __future__ import annotations

import random
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable
from typing import Any

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import ApplicationMessage, Message, State, estimated_size
from lab.lines import Links
from lab.servers import Clock

STREAM_LIMIT_MS = 1_500.0  # for an exchange or a probe over a stream
TIMERS_FIRST_MS = 5.0
STARVED_EVERY_MS, STARVED_RUNS_MS = 800.0, 80.0  # a starved process runs so long, so often
MOST_FROZEN = 5000  # that a stopped process's socket holds


class Process:
    """One process that hosts a core."""

    def __init__(self, network: MembershipNetwork, name: str, core: Membership) -> None:
        self.network, self.name, self.core = network, name, core
        self.alive, self.stopped, self.starved = True, False, False
        self.phase_ms = network.rng.random() * STARVED_EVERY_MS
        self.frozen: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.keys: dict[str, tuple[int, bool, int, int]] = {}

    def now(self) -> float:
        """Its own monotonic clock."""
        return self.network.now()

    def wait_ms(self, now: float) -> float:
        """How long until it runs."""
        if not self.starved:
            return 0.0
        into = (now + self.phase_ms) % STARVED_EVERY_MS
        return 0.0 if into < STARVED_RUNS_MS else STARVED_EVERY_MS - into


class MembershipNetwork(Clock):
    """Processes, addresses, and links between them."""

    def __init__(self, rng: random.Random, lines: Links) -> None:
        self.rng, self.lines = rng, lines
        self.by_address: dict[str, Process] = {}
        self.bytes, self.datagrams = Counter[str](), Counter[str]()
        self.stream_bytes = Counter[str]()
        self.notes = Counter[str]()
        self.record: list[tuple[str, str, Message]] | None = None  # datagrams, to be sent again later

    @abstractmethod
    def changed(self, process: Process, change: api.MemberChanged) -> None:
        """A process's view has changed."""

    def on_application_message(self, process: Process, message: ApplicationMessage) -> None:
        """A message has come that is about more than membership."""

    def wake(self, process: Process) -> None:
        """Let a stopped process go on: what has come meanwhile is worked off."""
        process.stopped = False
        frozen, process.frozen = process.frozen, []
        for do, args in frozen[-MOST_FROZEN:]:
            do(*args)

    def turn(self, process: Process, do: Callable[..., None], *args: Any) -> None:
        """Do something in a process, when it runs."""
        if not process.alive:
            return
        if process.stopped:
            process.frozen.append((do, args))
            return
        wait = process.wait_ms(self.now())
        if wait:
            self.after(wait, self.turn, process, do, *args)
        else:
            do(*args)

    def receive_event(self, process: Process, event: api.Event) -> None:
        """Something has come from outside: whoever was kept from running sees to its timers first."""
        wait = process.wait_ms(self.now())
        if wait and process.alive and not process.stopped:
            self.after(wait + TIMERS_FIRST_MS, self.receive_event, process, event)
        else:
            self.turn(process, self.give, process, event)

    def give(self, process: Process, event: api.Event) -> None:
        """Give a core an event and do what it says."""
        if process.alive:
            self.do(process, process.core.handle(event, process.now()))

    def do(self, process: Process, actions: list[api.Action]) -> None:
        """What a core says."""
        for action in actions:
            match action:
                case api.SendDatagram():
                    self.post(process, action.address, action.message)
                case api.SetTimer():
                    self.after(
                        action.delay_ms, self.turn, process, self.give, process, api.TimerFired(action.token)
                    )
                case api.PushPull():
                    self._exchange(process, action.address, action.state)
                case api.ProbeOverStream():
                    self._dial(process, action.address, action.number)
                case api.MemberChanged():
                    self.changed(process, action)
                case api.LogEvent():
                    self.notes[action.event] += 1

    # Links

    def post(self, process: Process, address: str, message: api.AnyMessage) -> None:
        """A datagram goes out."""
        if not isinstance(message, Message):
            return  # a flat core says nothing else
        size = estimated_size(message)
        self.bytes[process.name] += size
        self.datagrams[process.name] += 1
        target = self.by_address.get(address)
        if target is None:
            return
        if self.record is not None and len(self.record) < 50_000:
            self.record.append((process.core.address, address, message))
        for took in self.lines.between(process.name, target.name).datagram(size):
            self.after(took, self.deliver, address, process.core.address, message)

    def deliver(self, address: str, source: str, message: Message) -> None:
        """A datagram comes in, at whoever is at this address by now."""
        target = self.by_address.get(address)
        if target is not None and target.alive:
            self.receive_event(target, api.MessageReceived(message, source))
            if isinstance(message, ApplicationMessage):
                self.turn(target, self.on_application_message, target, message)

    def _round_trips(self, a: str, b: str, trips: int, size: int) -> float | None:
        """How long a stream takes for so many round trips; None where it does not come up in time."""
        there, back = self.lines.between(a, b), self.lines.between(b, a)
        if there.cut or back.cut or there.refuse:
            return None
        took = sum(there.stream_ms(size) + back.stream_ms(size) for _ in range(trips))
        return took if took < STREAM_LIMIT_MS else None

    def _exchange(self, process: Process, address: str, state: State) -> None:
        size = 40 + sum(record.estimated_size() for record in state.records)
        self.stream_bytes[process.name] += size
        target = self.by_address.get(address)
        took = None if target is None else self._round_trips(process.name, target.name, 2, 1000)
        if target is None or took is None or not target.alive:
            self.after(STREAM_LIMIT_MS, self.turn, process, self.give, process, api.PushPullFailed(address))
            return
        self.after(took * 0.75, self.turn, target, self._met, target, process, address, state, took * 0.25)

    def _met(self, target: Process, process: Process, address: str, state: State, back_ms: float) -> None:
        answer = target.core.state()
        self.stream_bytes[target.name] += 40 + sum(record.estimated_size() for record in answer.records)
        self.give(target, api.PushPullReceived(state, process.core.address, False))
        self.after(back_ms, self.receive_event, process, api.PushPullReceived(answer, address, True))

    def _dial(self, process: Process, address: str, number: int) -> None:
        target = self.by_address.get(address)
        took = None if target is None else self._round_trips(process.name, target.name, 2, 60)
        if target is not None and took is not None:
            self.stream_bytes[process.name] += 120
            self.after(took * 0.75, self.turn, target, self._dialled, target, process, number, took * 0.25)

    def _dialled(self, target: Process, process: Process, number: int, back_ms: float) -> None:
        event = api.StreamProbeAcked(number, target.core.name, target.core.incarnation)
        self.after(back_ms, self.receive_event, process, event)
