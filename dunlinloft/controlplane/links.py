"""Connections to other replicas: one for each, dialed again whenever it ends."""

from __future__ import annotations

import asyncio

import msgspec

from dunlinloft.transport import message_stream
from dunlinloft.transport.exceptions import ConnectError

REDIAL_S = 0.08
IDLE_FORGET_S = 60.0
QUEUE_MOST = 64  # messages kept while a connection is being made


class Link:
    """Messages to one replica; what can't be sent now is dropped, as its sender repeats what matters."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._writer: message_stream.MessageWriter | None = None
        self._early: list[bytes] = []
        self.used_s = 0.0
        self.task = asyncio.create_task(self._keep())

    def send(self, line: bytes) -> None:
        """Send a line, or keep it while the first connection is being made."""
        if self._writer is not None:
            self._writer.send_frame(line)
        elif len(self._early) < QUEUE_MOST:
            self._early.append(line)

    async def _keep(self) -> None:
        while True:
            try:
                reader, writer = await message_stream.connect(self.address)
            except ConnectError:
                self._early.clear()
                await asyncio.sleep(REDIAL_S)
                continue
            self._writer = message_stream.MessageWriter(writer)
            for line in self._early:
                self._writer.send_frame(line)
            self._early.clear()
            try:
                await reader.read(1)  # the other side never writes: this waits for the end
            except OSError:
                pass
            finally:
                self._writer.abort()
                self._writer = None
            await asyncio.sleep(REDIAL_S)


class Links:
    """All links, by address."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    def send(self, address: str, message: msgspec.Struct) -> None:
        """Send a message to the replica at an address."""
        self.send_frame(address, message_stream.encode_frame(message))

    def send_frame(self, address: str, line: bytes) -> None:
        """Send a message that is a line already."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address)
        link.used_s = asyncio.get_running_loop().time()
        link.send(line)

    def forget(self) -> None:
        """End links that nothing was sent on for long."""
        oldest = asyncio.get_running_loop().time() - IDLE_FORGET_S
        for address in [a for a, link in self._links.items() if link.used_s < oldest]:
            self._links.pop(address).task.cancel()
