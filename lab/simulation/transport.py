"""One end of a simulated TCP connection, as an asyncio transport."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol

from lab.simulation.event_loop import SimulatedEventLoop
from lab.simulation.process import SimulatedProcess

TIMEOUT_TOLERANCE_S = 0.000_001  # rounding error of sums of times
USER_TIMEOUT_S = 1.0  # `TCP_USER_TIMEOUT` of the programs: limit on unacknowledged data


class Links(Protocol):
    """The links that a connection uses; implemented by `lab.simulation.network.Network`."""

    loop: SimulatedEventLoop
    rng: random.Random

    def blocked(self, source: str, target: str) -> bool:
        """Return whether the link from one host to another is blocked."""

    def powered(self, host: str) -> bool:
        """Return whether a host has power."""

    def damages(self, host: str) -> bool:
        """Draw whether the next write of a host is corrupted."""

    def delay_s(self, source: str, target: str) -> float:
        """Draw the delay of data on a link."""

    def forget(self, transport: SimulatedTransport) -> None:
        """Remove a transport whose connection has ended at both ends."""


@dataclass(frozen=True, slots=True)
class _Data:
    """Bytes in transit."""

    content: bytes


@dataclass(frozen=True, slots=True)
class _Established:
    """The reply to a connection request: the first segment from the accepting side."""

    future: asyncio.Future[SimulatedTransport]


@dataclass(frozen=True, slots=True)
class _Closed:
    """The end of the connection, by a reset or an orderly close."""

    reset: bool


_Content = _Data | _Established | _Closed


@dataclass(frozen=True, slots=True)
class _Segment:
    """Content in transit, and its arrival time unless the link is blocked."""

    due_s: float
    content: _Content


class SimulatedTransport(asyncio.Transport):
    """One end of a connection; queues what it sends until it arrives at the other end."""

    def __init__(self, network: Links, process: SimulatedProcess, host: str, peer_host: str) -> None:
        super().__init__()
        self.process = process
        self.peer: SimulatedTransport | None = None
        self._network = network
        self._loop = network.loop
        self._host = host
        self._peer_host = peer_host
        self._protocol: asyncio.Protocol | None = None
        self._early: list[_Data | _Closed] = []  # arrived before the protocol was set
        self._queue: deque[_Segment] = deque()
        self._pump_scheduled = False
        self._last_due_s = 0.0
        self._unacknowledged_since_s: float | None = None
        self._timeout_armed = False
        self._closing = False
        self._detached = False  # this end's kernel has no state of the connection any more

    # The transport interface of asyncio, called in the process's context.

    def begin(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol of an established connection, and deliver what has arrived already."""
        assert isinstance(protocol, asyncio.Protocol)
        self._protocol = protocol
        protocol.connection_made(self)
        early = self._early
        self._early = []
        for content in early:
            self._receive(content)

    def write(self, data: Any) -> None:
        """Send bytes."""
        if self._closing or not self.process.alive:
            return
        content = bytes(data)
        if self._network.damages(self._host):
            self._send_damaged(content)
            return
        self._enqueue(_Data(content))

    def close(self) -> None:
        """Close the connection after the queued data."""
        self._end(_Closed(reset=False))

    def abort(self) -> None:
        """Reset the connection."""
        if self._network.blocked(self._host, self._peer_host):
            self._queue.clear()  # data queued on a blocked link is lost
        self._end(_Closed(reset=True))

    def is_closing(self) -> bool:
        """Return whether this end is closed or closing."""
        return self._closing

    def get_write_buffer_size(self) -> int:
        """Return the number of queued bytes."""
        return sum(
            len(segment.content.content) for segment in self._queue if isinstance(segment.content, _Data)
        )

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the default: there is no socket."""
        return default

    def pause_reading(self) -> None:
        """Do nothing: the simulation needs no flow control."""

    def resume_reading(self) -> None:
        """Do nothing: reading is never paused."""

    # Sending.

    def establish(self, future: asyncio.Future[SimulatedTransport]) -> None:
        """Accept a connection request; called at the accepting side."""
        self._enqueue(_Established(future))

    def _send_damaged(self, content: bytes) -> None:
        """Send a prefix and reset the connection, or send the content with random bytes inserted."""
        rng = self._network.rng
        if rng.random() < 0.5:
            self._enqueue(_Data(content[: rng.randrange(len(content))]))
            self._enqueue(_Closed(reset=True))
            self._detach(ConnectionResetError(104, "connection reset"))
            return
        start = rng.randrange(len(content))
        noise = rng.randbytes(rng.randint(1, 8)).replace(b"\n", b"\xff")
        self._enqueue(_Data(content[:start] + b'"\xfe' + noise + content[start:]))

    def _enqueue(self, content: _Content) -> None:
        now_s = self._loop.now_s
        due_s = max(self._last_due_s, now_s + self._network.delay_s(self._host, self._peer_host))
        self._last_due_s = due_s
        self._queue.append(_Segment(due_s, content))
        if self._unacknowledged_since_s is None:
            self._unacknowledged_since_s = now_s
            self._arm_timeout(USER_TIMEOUT_S)
        self._schedule_pump()

    def _schedule_pump(self) -> None:
        if self._queue and not self._pump_scheduled:
            self._pump_scheduled = True
            self._loop.after(max(0.0, self._queue[0].due_s - self._loop.now_s), self._pump)

    def _pump(self) -> None:
        self._pump_scheduled = False
        if not self._queue or self._network.blocked(self._host, self._peer_host):
            return  # `resume` restarts the pump
        segment = self._queue.popleft()
        self._arrive(segment.content)
        if not self._queue and not self._network.blocked(self._peer_host, self._host):
            self._unacknowledged_since_s = None
        self._schedule_pump()

    def resume(self) -> None:
        """Continue after a link was unblocked."""
        self._schedule_pump()
        if not self._queue and not self._network.blocked(self._peer_host, self._host):
            self._unacknowledged_since_s = None

    def _arm_timeout(self, delay_s: float) -> None:
        if not self._timeout_armed:
            self._timeout_armed = True
            self._loop.after(delay_s, self._check_timeout)

    def _check_timeout(self) -> None:
        self._timeout_armed = False
        if self._detached or self._unacknowledged_since_s is None:
            return
        age_s = self._loop.now_s - self._unacknowledged_since_s
        if age_s >= USER_TIMEOUT_S - TIMEOUT_TOLERANCE_S:
            self._detach(TimeoutError(110, "connection timed out"))
        else:
            self._arm_timeout(USER_TIMEOUT_S - age_s)

    # Arrival at the other end.

    def _arrive(self, content: _Content) -> None:
        peer = self.peer
        assert peer is not None
        if isinstance(content, _Established):
            if content.future.done() or not peer.process.alive:
                peer._detached = True
                self._on_reset()
            else:
                content.future.set_result(peer)
            return
        if not self._network.powered(self._peer_host):
            self._queue.clear()
            self._unacknowledged_since_s = self._loop.now_s
            self._arm_timeout(USER_TIMEOUT_S)
        elif peer._detached or not peer.process.alive:
            if isinstance(content, _Data):
                self._loop.after(self._network.delay_s(self._peer_host, self._host), self._on_reset)
        else:
            self._loop.call_in(peer.process, peer._receive, content)

    def _on_reset(self) -> None:
        if not self._detached:
            self._detach(ConnectionResetError(104, "connection reset"))

    def _receive(self, content: _Data | _Closed) -> None:
        """Deliver what arrived to the protocol, in the process's context."""
        if self._detached:
            return
        if self._protocol is None:
            self._early.append(content)
        elif isinstance(content, _Data):
            self._protocol.data_received(content.content)
        elif content.reset:
            self._detach(ConnectionResetError(104, "connection reset"))
        else:
            self._protocol.eof_received()
            self._detach(None)

    # Close.

    def _end(self, closed: _Closed) -> None:
        if self._closing or not self.process.alive:
            return
        self._enqueue(closed)
        self._detach(None)

    def _detach(self, error: Exception | None) -> None:
        """Detach this end from its process; queued data is still sent, except after a timeout."""
        if isinstance(error, TimeoutError):
            self._queue.clear()
        self._closing = True
        if self._detached:
            return
        self._detached = True
        if self._protocol is not None:
            self._loop.call_in(self.process, self._protocol.connection_lost, error)
        self._forget_when_over()

    def on_process_ended(self, power_lost: bool) -> None:
        """Close this end because its process ended; silently after a power loss."""
        already_detached = self._detached
        self._detached = True
        self._closing = True
        if power_lost:
            self._queue.clear()
        elif not already_detached:
            self._enqueue(_Closed(reset=self._network.rng.random() < 0.5))
        self._forget_when_over()

    def _forget_when_over(self) -> None:
        if self._detached and self.peer is not None and self.peer._detached:
            self._network.forget(self)
            self._network.forget(self.peer)
