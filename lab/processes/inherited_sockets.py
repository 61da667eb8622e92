"""Listening sockets that successive processes of a node inherit, so that an upgrade refuses no connection."""

from __future__ import annotations

import socket

from lab.processes.block import Address

BACKLOG = 512


class InheritedSockets:
    """The inherited sockets by node, bound when they are first needed. `ProcessHost` owns it."""

    def __init__(self) -> None:
        self._sockets: dict[str, socket.socket] = {}

    def descriptor(self, node: str, address: Address) -> int:
        """Return the file descriptor of a node's socket, which listens on `address`."""
        if node not in self._sockets:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
            self._sockets[node] = sock
        return self._sockets[node].fileno()

    def close(self) -> None:
        """Close all sockets."""
        for sock in self._sockets.values():
            sock.close()
