"""The addresses of a run: a block of 127.0.0.0/8 that no other run on this machine has.

It is claimed by listening at an address of its own. The kernel ends the claim however the run ends, so
no file is left that could lie.
"""

from __future__ import annotations

import socket

FIRST, LAST = 16, 250
CLAIM_PORT = 7399
NODE_PORT, ADMIN_PORT, DISCOVERY_PORT, SERVER_PORT, PEER_PORT = 9000, 9100, 8500, 10_000, 7400
DIRECTORY_KIND = 5
HOLLOW_KIND, HOLLOW_EACH = 16, 250  # third bytes of addresses from there on, with so many members each
Address = tuple[str, int]


class NoBlock(Exception):
    """All blocks are taken."""


class Block:
    """The second byte of all addresses of a run."""

    def __init__(self) -> None:
        self.number = 0
        for number in range(FIRST, LAST + 1):
            claim = socket.socket()
            try:
                claim.bind((f"127.{number}.0.1", CLAIM_PORT))
                claim.listen(1)
            except OSError:
                claim.close()
                continue
            self.number, self._claim = number, claim
            return
        raise NoBlock(f"all blocks from 127.{FIRST}.0.0 to 127.{LAST}.0.0 are claimed by other runs")

    def release(self) -> None:
        """Let others have it."""
        self._claim.close()

    def _at(self, kind: int, place: int, port: int) -> Address:
        return f"127.{self.number}.{kind}.{place + 1}", port

    def node(self, place: int) -> Address:
        """Where a node listens for callers."""
        return self._at(1, place, NODE_PORT)

    def admin(self, place: int, process: int) -> Address:
        """Where one of a node's processes listens for operators."""
        return self._at(1, place, ADMIN_PORT + process % 100)

    def peer(self, place: int) -> Address:
        """Where a node's process binds for its peers."""
        return self._at(1, place, PEER_PORT)

    def alias(self, place: int) -> Address:
        """What a node's peers are told: the relay is there."""
        return self._at(2, place, PEER_PORT)

    def discovery(self, place: int) -> Address:
        """Where the discovery agent of a node's machine listens."""
        return self._at(3, place, DISCOVERY_PORT)

    def server(self, node: int, server: int) -> Address:
        """Where a server is for one node: by the address its link is known."""
        return self._at(4, node, SERVER_PORT + server)

    def directory(self, place: int) -> Address:
        """Where a process of the directory binds, for its peers and for members."""
        return self._at(DIRECTORY_KIND, place, PEER_PORT)

    def hollow(self, place: int) -> Address:
        """Where a member without a node binds for its peers, of a scale run."""
        return self._at(HOLLOW_KIND + place // HOLLOW_EACH, place % HOLLOW_EACH, PEER_PORT)


def text(address: Address) -> str:
    """host:port."""
    return f"{address[0]}:{address[1]}"
