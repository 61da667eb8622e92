"""The network between simulated hosts: TCP connections over links that delay, block, damage and break.

Data of one direction arrives in order. A blocked link holds it up, and it comes once the link is open again,
unless its sender gave the connection up by then (`TCP_USER_TIMEOUT`). A killed process resets its
connections; a host without power says nothing.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lab.simulation.event_loop import SimulatedEventLoop
from lab.simulation.process import SimulatedProcess
from lab.simulation.transport import SimulatedTransport

DELAY_S = (0.000_5, 0.003)  # of data on a link: shortest, longest
OUTSIDE = "outside"  # the host of servers and operators

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


@dataclass(frozen=True, slots=True)
class Listener:
    """Who accepts connections at an address."""

    process: SimulatedProcess
    factory: ProtocolFactory


class SimulatedServer:
    """What `create_server` returns."""

    def __init__(self, close: Callable[[], None]) -> None:
        self._close = close

    def close(self) -> None:
        """Stop accepting connections."""
        self._close()


class Network:
    """All links and connections. `SimulatedEventLoop` connects and listens through it."""

    def __init__(self, loop: SimulatedEventLoop, rng: random.Random) -> None:
        self.loop = loop
        self.rng = rng
        self._blocked: Counter[tuple[str, str]] = Counter()  # (source, target): how many faults block it
        self._extra_delay_s: dict[str, float] = {}  # by host
        self._damage_probability: dict[str, float] = {}  # by host: of each write of its processes
        self._powered: set[str] = {OUTSIDE}
        self._listeners: dict[tuple[str, int], Listener] = {}
        self._transports: dict[SimulatedTransport, None] = {}  # open ones, in the order of their making
        loop.connect = self._connect
        loop.listen = self._listen

    # Links.

    def blocked(self, source: str, target: str) -> bool:
        """Return whether nothing gets from one host to another."""
        return (source, target) in self._blocked

    def block(self, source: str, target: str) -> None:
        """Block one direction; blocks are counted."""
        self._blocked[source, target] += 1

    def unblock(self, source: str, target: str) -> None:
        """Withdraw one block."""
        self._blocked[source, target] -= 1
        if self._blocked[source, target] <= 0:
            del self._blocked[source, target]
            self._resume()

    def unblock_all(self) -> None:
        """Withdraw all blocks."""
        self._blocked.clear()
        self._resume()

    @property
    def any_blocked(self) -> bool:
        """Whether any direction of any link is blocked."""
        return bool(self._blocked)

    def blocked_hosts(self) -> set[str]:
        """Return the hosts at either end of a blocked direction."""
        return {host for pair in self._blocked for host in pair}

    def delay(self, host: str, extra_s: float) -> bool:
        """Set by how much what a host sends and receives is delayed; return whether that is a change."""
        changed = self._extra_delay_s.get(host, 0.0) != extra_s
        self._extra_delay_s[host] = extra_s
        return changed

    def damage(self, host: str, probability: float) -> bool:
        """Set the probability with which writes on a host are damaged; return whether that is a change."""
        changed = self._damage_probability.get(host, 0.0) != probability
        self._damage_probability[host] = probability
        return changed

    def damages(self, host: str) -> bool:
        """Draw whether the next write of a host is damaged."""
        probability = self._damage_probability.get(host, 0.0)
        return probability > 0.0 and self.rng.random() < probability

    def delay_s(self, source: str, target: str) -> float:
        """Draw the delay of data on a link."""
        extra_s = self._extra_delay_s.get(source, 0.0) + self._extra_delay_s.get(target, 0.0)
        return self.rng.uniform(*DELAY_S) + extra_s

    def _resume(self) -> None:
        for transport in list(self._transports):
            transport.resume()

    # Hosts.

    def power_on(self, host: str) -> None:
        """A host is up: its kernel answers, whatever processes run."""
        self._powered.add(host)

    def powered(self, host: str) -> bool:
        """Return whether a host is up."""
        return host in self._powered

    def end_process(self, process: SimulatedProcess, power_lost: bool) -> None:
        """Close what a process had open: with resets, or silently where its host lost power."""
        if power_lost:
            self._powered.discard(process.host)
        self._listeners = {at: each for at, each in self._listeners.items() if each.process is not process}
        for transport in [each for each in self._transports if each.process is process]:
            transport.on_process_ended(power_lost)

    # Connections.

    def forget(self, transport: SimulatedTransport) -> None:
        """Drop a transport on which nothing happens any more."""
        self._transports.pop(transport, None)

    def _listen(
        self, process: SimulatedProcess, factory: ProtocolFactory, host: str, port: int
    ) -> SimulatedServer:
        at = (host, port)
        if at in self._listeners:
            raise OSError(98, "address already in use")
        listener = Listener(process, factory)
        self._listeners[at] = listener

        def close() -> None:
            """Free the address, unless a later process has it."""
            if self._listeners.get(at) is listener:
                del self._listeners[at]

        return SimulatedServer(close)

    async def _connect(
        self, process: SimulatedProcess, factory: ProtocolFactory, host: str, port: int
    ) -> tuple[SimulatedTransport, asyncio.BaseProtocol]:
        established: asyncio.Future[SimulatedTransport] = self.loop.create_future()
        delay_s = self.delay_s(process.host, host)
        self.loop.after(delay_s, self._on_syn, process, host, port, established)
        transport = await established
        protocol = factory()
        transport.begin(protocol)
        return transport, protocol

    def _on_syn(
        self, process: SimulatedProcess, host: str, port: int, established: asyncio.Future[SimulatedTransport]
    ) -> None:
        """A request to connect arrives; where it is lost, the caller waits until it gives up."""
        if self.blocked(process.host, host) or not self.powered(host):
            return
        listener = self._listeners.get((host, port))
        if listener is None:
            self.loop.after(self.delay_s(host, process.host), self._refuse, process, host, established)
            return
        client = SimulatedTransport(self, process, process.host, host)
        server = SimulatedTransport(self, listener.process, host, process.host)
        client.peer = server
        server.peer = client
        self._transports[client] = None
        self._transports[server] = None
        server.establish(established)
        self.loop.call_in(listener.process, self._accept, listener, server)

    def _refuse(self, process: SimulatedProcess, host: str, established: asyncio.Future[Any]) -> None:
        if not self.blocked(host, process.host) and not established.done():
            established.set_exception(ConnectionRefusedError(111, "connection refused"))

    def _accept(self, listener: Listener, transport: SimulatedTransport) -> None:
        transport.begin(listener.factory())
