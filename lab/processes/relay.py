"""Between processes that talk to each other: UDP and TCP by the links of the scenario.

Each process binds an address of its own and tells its peers an alias; the relay listens at all aliases.
Whoever sends is known by the address it sends from, and the other side sees the sender's alias.
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

DIAL_S = 3.0
RETRY_MS = 50.0  # how often a connection over a cut link is tried again


class _Mouth(asyncio.DatagramProtocol):
    """The datagram socket at one process's alias."""

    def __init__(self, relay: Relay, name: str) -> None:
        self._relay, self.name = relay, name
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        self._relay.datagram(address[0], self.name, data)


class _Half(asyncio.Protocol):
    """One side of a connection that is passed on."""

    def __init__(self, living: set[_Half]) -> None:
        self._living = living
        self.transport: asyncio.Transport | None = None
        self.out: Pipe | None = None  # towards the other side
        self._early: list[bytes | None] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._living.add(self)

    def abort(self) -> None:
        """Break it off."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.push(data)

    def eof_received(self) -> bool:
        self.push(None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._living.discard(self)
        self.push(None)

    def push(self, data: bytes | None) -> None:
        """Pass on, once there is somebody to pass it on to."""
        if self.out is not None:
            self.out.push(data)
        else:
            self._early.append(data)

    def join(self, out: Pipe) -> None:
        """The other side is there."""
        self.out = out
        for data in self._early:
            out.push(data)
        self._early.clear()

    def write(self, data: bytes | None) -> None:
        """What the other side sent; None is its end."""
        if self.transport is None or self.transport.is_closing():
            return
        if data is None:
            self.transport.close()
        else:
            self.transport.write(data)


def _same(mouth: _Mouth) -> _Mouth:
    return mouth


class Relay:
    """All aliases of a run."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        lines: Links,
        block: Block,
        places: dict[str, int],
    ) -> None:
        self._loop, self._clock, self._lines, self._block, self._places = loop, clock, lines, block, places
        self._names = {block.peer(place)[0]: name for name, place in places.items()}
        self._mouths: dict[str, _Mouth] = {}
        self._gates: list[Gate] = []
        self._halves: set[_Half] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.datagrams = self.dropped = self.strangers = 0

    async def start(self) -> None:
        """Listen at every alias."""
        for name, place in self._places.items():
            address = self._block.alias(place)
            mouth = _Mouth(self, name)
            await self._loop.create_datagram_endpoint(partial(_same, mouth), local_addr=address)
            self._mouths[name] = mouth
            gate = Gate(self._loop, address, partial(self._accepted, name))
            gate.set(OPEN)
            self._gates.append(gate)

    def close(self) -> None:
        """End all of it."""
        for task in self._tasks:
            task.cancel()
        for mouth in self._mouths.values():
            mouth.transport.close()
        for gate in self._gates:
            gate.set(SHUT)
        for half in list(self._halves):
            half.abort()

    def datagram(self, sender: str, target: str, data: bytes) -> None:
        """Pass a datagram on as the link has it."""
        source = self._names.get(sender)
        if source is None:
            self.strangers += 1
            return
        self.datagrams += 1
        times = self._lines.between(source, target).datagram(len(data))
        self.dropped += not times
        for took in times:
            self._clock.after(took, self._deliver, source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        mouth = self._mouths[source].transport
        if not mouth.is_closing():
            mouth.sendto(data, self._block.peer(self._places[target]))

    def _accepted(self, target: str, sock: socket.socket) -> None:
        source = self._names.get(sock.getpeername()[0])
        if source is None:
            self.strangers += 1
            return sock.close()
        task = self._loop.create_task(self._join(sock, source, target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join(self, sock: socket.socket, source: str, target: str) -> None:
        there, back = self._lines.between(source, target), self._lines.between(target, source)
        near, far = _Half(self._halves), _Half(self._halves)
        await self._loop.connect_accepted_socket(lambda: near, sock)
        while there.cut or back.cut:  # a handshake needs both ways
            await asyncio.sleep(RETRY_MS / 1000.0)
        try:
            if there.refuse:
                raise ConnectionRefusedError
            async with asyncio.timeout(DIAL_S):
                await self._loop.create_connection(
                    lambda: far,
                    *self._block.peer(self._places[target]),
                    local_addr=(self._block.alias(self._places[source])[0], 0),
                )
        except (OSError, TimeoutError):
            return near.abort()
        near.join(Pipe(there, far.write))
        far.join(Pipe(back, near.write))
