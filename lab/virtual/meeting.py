"""Network between virtual processes that host membership: datagrams and streams over the lab's links."""

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

STREAM_TIMEOUT_MS = 1_500.0  # timeout of a state exchange or probe over a stream
TIMER_PRIORITY_MS = 5.0  # delay that lets due timers of a starved process run before incoming events
STARVATION_PERIOD_MS, STARVATION_RUN_MS = 800.0, 80.0  # scheduling period and run time of a starved process
MAX_FROZEN_EVENTS = 5000  # socket buffer of a stopped process, in events


class Process:
    """A process that hosts a membership core."""

    def __init__(self, network: MembershipNetwork, name: str, core: Membership) -> None:
        self.network, self.name, self.core = network, name, core
        self.alive, self.stopped, self.starved = True, False, False
        self.phase_ms = network.rng.random() * STARVATION_PERIOD_MS
        self.frozen: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.keys: dict[str, tuple[int, bool, int, int]] = {}

    def now(self) -> float:
        """Return the process's monotonic clock."""
        return self.network.now()

    def wait_ms(self, now: float) -> float:
        """Return the time until the process is scheduled."""
        if not self.starved:
            return 0.0
        position_ms = (now + self.phase_ms) % STARVATION_PERIOD_MS
        return 0.0 if position_ms < STARVATION_RUN_MS else STARVATION_PERIOD_MS - position_ms


class MembershipNetwork(Clock):
    """Processes, their addresses and the links between them."""

    def __init__(self, rng: random.Random, lines: Links) -> None:
        self.rng, self.lines = rng, lines
        self.by_address: dict[str, Process] = {}
        self.bytes, self.datagrams = Counter[str](), Counter[str]()
        self.stream_bytes = Counter[str]()
        self.notes = Counter[str]()
        self.record: list[tuple[str, str, Message]] | None = None  # recorded datagrams, for replay

    @abstractmethod
    def changed(self, process: Process, change: api.MemberChanged) -> None:
        """Handle a change of a process's view."""

    def on_application_message(self, process: Process, message: ApplicationMessage) -> None:
        """Handle a message that is not part of the membership protocol."""

    def wake(self, process: Process) -> None:
        """Resume a stopped process; it handles what arrived in the meantime."""
        process.stopped = False
        frozen, process.frozen = process.frozen, []
        for do, args in frozen[-MAX_FROZEN_EVENTS:]:
            do(*args)

    def turn(self, process: Process, do: Callable[..., None], *args: Any) -> None:
        """Call `do` in a process, as soon as the process runs."""
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
        """Handle an external event; a starved process runs its due timers first."""
        wait = process.wait_ms(self.now())
        if wait and process.alive and not process.stopped:
            self.after(wait + TIMER_PRIORITY_MS, self.receive_event, process, event)
        else:
            self.turn(process, self.give, process, event)

    def give(self, process: Process, event: api.Event) -> None:
        """Pass an event to a core and perform the resulting actions."""
        if process.alive:
            self.do(process, process.core.handle(event, process.now()))

    def do(self, process: Process, actions: list[api.Action]) -> None:
        """Perform the actions of a core."""
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
                    self._probe_over_stream(process, action.address, action.number)
                case api.MemberChanged():
                    self.changed(process, action)
                case api.LogEvent():
                    self.notes[action.event] += 1

    # Links

    def post(self, process: Process, address: str, message: api.AnyMessage) -> None:
        """Send a datagram."""
        if not isinstance(message, Message):
            return  # a flat core sends only `Message`
        size = estimated_size(message)
        self.bytes[process.name] += size
        self.datagrams[process.name] += 1
        target = self.by_address.get(address)
        if target is None:
            return
        if self.record is not None and len(self.record) < 50_000:
            self.record.append((process.core.address, address, message))
        for duration_ms in self.lines.between(process.name, target.name).datagram(size):
            self.after(duration_ms, self.deliver, address, process.core.address, message)

    def deliver(self, address: str, source: str, message: Message) -> None:
        """Deliver a datagram to the process that currently has this address."""
        target = self.by_address.get(address)
        if target is not None and target.alive:
            self.receive_event(target, api.MessageReceived(message, source))
            if isinstance(message, ApplicationMessage):
                self.turn(target, self.on_application_message, target, message)

    def _round_trips(self, a: str, b: str, trips: int, size: int) -> float | None:
        """Return the duration of a stream with this many round trips; None if it fails or times out."""
        forward, backward = self.lines.between(a, b), self.lines.between(b, a)
        if forward.cut or backward.cut or forward.refuse:
            return None
        duration_ms = sum(forward.stream_ms(size) + backward.stream_ms(size) for _ in range(trips))
        return duration_ms if duration_ms < STREAM_TIMEOUT_MS else None

    def _exchange(self, process: Process, address: str, state: State) -> None:
        size = 40 + sum(record.estimated_size() for record in state.records)
        self.stream_bytes[process.name] += size
        target = self.by_address.get(address)
        duration_ms = None if target is None else self._round_trips(process.name, target.name, 2, 1000)
        if target is None or duration_ms is None or not target.alive:
            self.after(STREAM_TIMEOUT_MS, self.turn, process, self.give, process, api.PushPullFailed(address))
            return
        self.after(
            duration_ms * 0.75,
            self.turn,
            target,
            self._on_push_pull,
            target,
            process,
            address,
            state,
            duration_ms * 0.25,
        )

    def _on_push_pull(
        self, target: Process, process: Process, address: str, state: State, back_ms: float
    ) -> None:
        answer = target.core.state()
        self.stream_bytes[target.name] += 40 + sum(record.estimated_size() for record in answer.records)
        self.give(target, api.PushPullReceived(state, process.core.address, False))
        self.after(back_ms, self.receive_event, process, api.PushPullReceived(answer, address, True))

    def _probe_over_stream(self, process: Process, address: str, number: int) -> None:
        target = self.by_address.get(address)
        duration_ms = None if target is None else self._round_trips(process.name, target.name, 2, 60)
        if target is not None and duration_ms is not None:
            self.stream_bytes[process.name] += 120
            self.after(
                duration_ms * 0.75,
                self.turn,
                target,
                self._on_stream_probe,
                target,
                process,
                number,
                duration_ms * 0.25,
            )

    def _on_stream_probe(self, target: Process, process: Process, number: int, back_ms: float) -> None:
        event = api.StreamProbeAcked(number, target.core.name, target.core.incarnation)
        self.after(back_ms, self.receive_event, process, event)
