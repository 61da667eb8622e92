"""Listening sockets that can refuse connections or let them hang, depending on the state of the link.

Each link from a node to a server has its own address, so its state is that of one socket.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lab.processes.block import Address

BACKLOG = 256
OPEN, HANGING, SHUT = "open", "hanging", "shut"


class Gate:
    """A listening socket; `accepted` is called with each connection."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, accepted: Callable[[socket.socket], None]
    ) -> None:
        self._loop, self.address, self._accepted = loop, address, accepted
        self._socket: socket.socket | None = None
        self._filler: socket.socket | None = None
        self.state = SHUT

    def set(self, state: str) -> None:
        """Accept new connections, let them hang, or refuse them."""
        if state == self.state:
            return
        if self._socket is not None and self.state == OPEN:
            self._loop.remove_reader(self._socket)
        if self._filler is not None:
            self._filler.close()
            self._filler = None
        if state == SHUT:
            assert self._socket is not None
            self._socket.close()
            self._socket = None
        elif self._socket is None:
            self._socket = self._listener()
        if state == OPEN:
            assert self._socket is not None
            self._socket.listen(BACKLOG)
            self._loop.add_reader(self._socket, self._accept)
        elif state == HANGING:
            assert self._socket is not None
            # A backlog of 0 still holds one connection; once it is filled, the kernel drops every handshake.
            self._socket.listen(0)
            self._filler = socket.socket()
            self._filler.setblocking(False)
            self._filler.bind((self.address[0], 0))
            self._filler.connect_ex(self.address)
        self.state = state

    def _listener(self) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.address)
        sock.listen(BACKLOG)
        return sock

    def _accept(self) -> None:
        while self._socket is not None and self.state == OPEN:
            try:
                accepted, peer = self._socket.accept()
            except OSError:  # no pending connection
                return
            if peer[0] == self.address[0]:  # the filler of the hanging state; nodes have other addresses
                accepted.close()
                continue
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._accepted(accepted)
