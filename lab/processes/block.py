"""Address allocation: each run gets a block of 127.0.0.0/8 that no other run on this machine uses.

A block is claimed by listening at an address in it. The kernel releases the claim however the run ends, so no
stale lock file can remain.
"""

from __future__ import annotations

import socket

FIRST, LAST = 16, 250
CLAIM_PORT = 7399
NODE_PORT, ADMIN_PORT, DISCOVERY_PORT, SERVER_PORT, PEER_PORT = 9000, 9100, 8500, 10_000, 7400
DIRECTORY_KIND = 5
HOLLOW_KIND, HOLLOW_EACH = 16, 250  # first third byte, and members per third byte
Address = tuple[str, int]


class AddressBlockError(Exception):
    """All address blocks are in use."""


class Block:
    """The address block of a run, identified by the second byte of its addresses."""

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
        raise AddressBlockError(
            f"all blocks from 127.{FIRST}.0.0 to 127.{LAST}.0.0 are claimed by other runs"
        )

    def release(self) -> None:
        """Release the block."""
        self._claim.close()

    def _at(self, kind: int, place: int, port: int) -> Address:
        return f"127.{self.number}.{kind}.{place + 1}", port

    def node(self, place: int) -> Address:
        """Return the address at which a node listens for callers."""
        return self._at(1, place, NODE_PORT)

    def admin(self, place: int, process: int) -> Address:
        """Return the admin address of one of a node's processes."""
        return self._at(1, place, ADMIN_PORT + process % 100)

    def peer(self, place: int) -> Address:
        """Return the address that a node's process binds for its peers."""
        return self._at(1, place, PEER_PORT)

    def alias(self, place: int) -> Address:
        """Return the address advertised to a node's peers, at which the relay listens."""
        return self._at(2, place, PEER_PORT)

    def discovery(self, place: int) -> Address:
        """Return the address of the discovery agent on a node's machine."""
        return self._at(3, place, DISCOVERY_PORT)

    def server(self, node: int, server: int) -> Address:
        """Return the address at which one node reaches a server; it identifies the link between them."""
        return self._at(4, node, SERVER_PORT + server)

    def directory(self, place: int) -> Address:
        """Return the address that a directory process binds for its peers and for members."""
        return self._at(DIRECTORY_KIND, place, PEER_PORT)

    def hollow(self, place: int) -> Address:
        """Return the address that a member without a node binds for its peers, in a scale run."""
        return self._at(HOLLOW_KIND + place // HOLLOW_EACH, place % HOLLOW_EACH, PEER_PORT)


def text(address: Address) -> str:
    """Format an address as host:port."""
    return f"{address[0]}:{address[1]}"
