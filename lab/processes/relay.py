"""Relay for UDP and TCP between processes, applying the scenario's links.

Each process binds its own address and advertises an alias to its peers; the relay listens at all aliases. A
sender is identified by its source address, and the receiver sees the sender's alias.
"""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import cast

from lab.lines import Links
from lab.processes.block import Address, Block
from lab.processes.gates import OPEN, SHUT, Gate
from lab.processes.pipe import Pipe
from lab.servers import Clock

CONNECT_TIMEOUT_S = 3.0
RETRY_MS = 50.0  # interval for retrying a connection over a cut link


class _AliasSocket(asyncio.DatagramProtocol):
    """The datagram socket at a process's alias."""

    def __init__(self, relay: Relay, name: str) -> None:
        self._relay, self.name = relay, name
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        self._relay.datagram(address[0], self.name, data)


class _RelayedSide(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self, open_sides: set[_RelayedSide]) -> None:
        self._open_sides = open_sides
        self.transport: asyncio.Transport | None = None
        self.pipe: Pipe | None = None  # to the other side
        self._buffered: list[bytes | None] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._open_sides.add(self)

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.push(data)

    def eof_received(self) -> bool:
        self.push(None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._open_sides.discard(self)
        self.push(None)

    def push(self, data: bytes | None) -> None:
        """Forward data, or buffer it until the other side is connected."""
        if self.pipe is not None:
            self.pipe.push(data)
        else:
            self._buffered.append(data)

    def connect(self, pipe: Pipe) -> None:
        """Connect the other side and forward the buffered data."""
        self.pipe = pipe
        for data in self._buffered:
            pipe.push(data)
        self._buffered.clear()

    def write(self, data: bytes | None) -> None:
        """Write data from the other side; None closes the connection."""
        if self.transport is None or self.transport.is_closing():
            return
        if data is None:
            self.transport.close()
        else:
            self.transport.write(data)


def _return_protocol(alias_socket: _AliasSocket) -> _AliasSocket:
    return alias_socket


class Relay:
    """Relays traffic for all aliases of a run."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        links: Links,
        block: Block,
        places: dict[str, int],
    ) -> None:
        self._loop, self._clock, self._links, self._block, self._places = loop, clock, links, block, places
        self._names = {block.peer(place)[0]: name for name, place in places.items()}
        self._alias_sockets: dict[str, _AliasSocket] = {}
        self._gates: list[Gate] = []
        self._sides: set[_RelayedSide] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.datagrams = self.dropped = self.unknown_senders = 0

    async def start(self) -> None:
        """Start listening at every alias."""
        for name, place in self._places.items():
            address = self._block.alias(place)
            alias_socket = _AliasSocket(self, name)
            await self._loop.create_datagram_endpoint(
                partial(_return_protocol, alias_socket), local_addr=address
            )
            self._alias_sockets[name] = alias_socket
            gate = Gate(self._loop, address, partial(self._accepted, name))
            gate.set(OPEN)
            self._gates.append(gate)

    def close(self) -> None:
        """Close all sockets and connections."""
        for task in self._tasks:
            task.cancel()
        for alias_socket in self._alias_sockets.values():
            alias_socket.transport.close()
        for gate in self._gates:
            gate.set(SHUT)
        for side in list(self._sides):
            side.abort()

    def datagram(self, sender: str, target: str, data: bytes) -> None:
        """Forward a datagram, subject to the link's loss, delay and duplication."""
        source = self._names.get(sender)
        if source is None:
            self.unknown_senders += 1
            return
        self.datagrams += 1
        times = self._links.between(source, target).datagram(len(data))
        self.dropped += not times
        for delay_ms in times:
            self._clock.after(delay_ms, self._deliver, source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        alias_socket = self._alias_sockets[source].transport
        if not alias_socket.is_closing():
            alias_socket.sendto(data, self._block.peer(self._places[target]))

    def _accepted(self, target: str, sock: socket.socket) -> None:
        source = self._names.get(sock.getpeername()[0])
        if source is None:
            self.unknown_senders += 1
            return sock.close()
        task = self._loop.create_task(self._join(sock, source, target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join(self, sock: socket.socket, source: str, target: str) -> None:
        forward, backward = self._links.between(source, target), self._links.between(target, source)
        source_side, target_side = _RelayedSide(self._sides), _RelayedSide(self._sides)
        await self._loop.connect_accepted_socket(lambda: source_side, sock)
        while forward.cut or backward.cut:  # a handshake needs both directions
            await asyncio.sleep(RETRY_MS / 1000.0)
        try:
            if forward.refuse:
                raise ConnectionRefusedError
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(
                    lambda: target_side,
                    *self._block.peer(self._places[target]),
                    local_addr=(self._block.alias(self._places[source])[0], 0),
                )
        except (OSError, TimeoutError):
            return source_side.abort()
        source_side.connect(Pipe(forward, target_side.write))
        target_side.connect(Pipe(backward, source_side.write))
