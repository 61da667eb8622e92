"""The network between simulated hosts: TCP connections over links that can be delayed, blocked and damaged.

Data arrives in order in each direction. A blocked link queues data until it is unblocked, unless the sender
has closed the connection by then (`TCP_USER_TIMEOUT`). The connections of a killed process are closed or
reset; a host without power sends nothing.
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

DELAY_S = (0.000_5, 0.003)  # range of the delay of data on a link
OUTSIDE = "outside"  # the host of servers and operators

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


@dataclass(frozen=True, slots=True)
class Listener:
    """The process that accepts connections at an address, and its protocol factory."""

    process: SimulatedProcess
    factory: ProtocolFactory


class SimulatedServer:
    """The server object that `create_server` returns."""

    def __init__(self, close: Callable[[], None]) -> None:
        self._close = close

    def close(self) -> None:
        """Stop accepting connections."""
        self._close()


class Network:
    """All links and connections; implements connect and listen for `SimulatedEventLoop`."""

    def __init__(self, loop: SimulatedEventLoop, rng: random.Random) -> None:
        self.loop = loop
        self.rng = rng
        self._blocked: Counter[tuple[str, str]] = Counter()  # number of blocks by (source, target)
        self._extra_delay_s: dict[str, float] = {}  # by host
        self._damage_probability: dict[str, float] = {}  # by host, for each write of its processes
        self._powered: set[str] = {OUTSIDE}
        self._listeners: dict[tuple[str, int], Listener] = {}
        self._transports: dict[SimulatedTransport, None] = {}  # open ones, in order of creation
        loop.connect = self._connect
        loop.listen = self._listen

    # Links.

    def blocked(self, source: str, target: str) -> bool:
        """Return whether the link from one host to another is blocked."""
        return (source, target) in self._blocked

    def block(self, source: str, target: str) -> None:
        """Block one direction of a link; overlapping blocks are counted."""
        self._blocked[source, target] += 1

    def unblock(self, source: str, target: str) -> None:
        """Remove one block; the link works once no block is left."""
        self._blocked[source, target] -= 1
        if self._blocked[source, target] <= 0:
            del self._blocked[source, target]
            self._resume()

    def unblock_all(self) -> None:
        """Remove all blocks."""
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
        """Set the extra delay of a host's traffic in each direction; return whether it changed."""
        changed = self._extra_delay_s.get(host, 0.0) != extra_s
        self._extra_delay_s[host] = extra_s
        return changed

    def damage(self, host: str, probability: float) -> bool:
        """Set the probability with which writes on a host are corrupted; return whether it changed."""
        changed = self._damage_probability.get(host, 0.0) != probability
        self._damage_probability[host] = probability
        return changed

    def damages(self, host: str) -> bool:
        """Draw whether the next write of a host is corrupted."""
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
        """Mark a host as powered: its kernel responds even if no process runs."""
        self._powered.add(host)

    def powered(self, host: str) -> bool:
        """Return whether a host has power."""
        return host in self._powered

    def end_process(self, process: SimulatedProcess, power_lost: bool) -> None:
        """Close a process's listeners and connections, without notice to peers if its host lost power."""
        if power_lost:
            self._powered.discard(process.host)
        self._listeners = {at: each for at, each in self._listeners.items() if each.process is not process}
        for transport in [each for each in self._transports if each.process is process]:
            transport.on_process_ended(power_lost)

    # Connections.

    def forget(self, transport: SimulatedTransport) -> None:
        """Remove a transport whose connection has ended at both ends."""
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
            """Release the address unless a later process uses it."""
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
        """Handle a connection request; if it is lost, the caller waits until its own timeout."""
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
