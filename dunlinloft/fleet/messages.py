"""What members tell each other, as typed values. `dunlinloft.fleet.wire` puts them into bytes.

Each is written as an array, so a later version may add fields at the end, which an older one skips.
"""

from __future__ import annotations

from msgspec import Struct

from dunlinloft.fleet.leases import messages as duties
from dunlinloft.fleet.shared_state import messages as shared

VERSION = 1
Fact = str | float | bool

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATUSES = ("alive", "suspect", "dead", "left")

# What a message costs in bytes, near enough to fill a datagram: checked against `fleet.wire` by a test.
HEAD_BYTES, RECORD_BYTES, ENTRY_BYTES = 44, 21, 26


class Record(Struct, array_like=True, gc=False):
    """What is said of one member.

    A life is one process; its revisions are its answers to what was said against it. `facts` are
    those of its own `version`; None where they are not told here. `accusers` are who suspect it.
    """

    name: str
    life: int
    revision: int
    status: int
    uid: int
    address: str = ""
    version: int = 0
    facts: dict[str, Fact] | None = None
    accusers: list[str] = []

    def key(self) -> tuple[int, bool, int, int]:
        """Of two records of a name the one with the greater key holds."""
        return self.life, self.status == LEFT, self.revision, self.status

    def size(self) -> int:
        """Bytes that it takes, about."""
        size = RECORD_BYTES + len(self.name) + len(self.address) + sum(map(len, self.accusers))
        return size + (sum(len(name) + 9 for name in self.facts) if self.facts else 0)


class Head(Struct, array_like=True, gc=False):
    """Who says it, and the digest of its view."""

    name: str
    life: int
    revision: int
    digest: int
    members: int = 0  # that it takes for alive


class Ping(Struct, array_like=True, tag=1, gc=False):
    """Are you there? `whom` is who is meant."""

    head: Head
    number: int
    whom: str
    records: list[Record] = []


class Ack(Struct, array_like=True, tag=2, gc=False):
    """I am, or, with `whom`, that one is."""

    head: Head
    number: int
    whom: str
    life: int
    records: list[Record] = []


class Ask(Struct, array_like=True, tag=3, gc=False):
    """Ping that one for me."""

    head: Head
    number: int
    whom: str
    address: str
    records: list[Record] = []


class Nack(Struct, array_like=True, tag=4, gc=False):
    """I could not reach it, but you reach me."""

    head: Head
    number: int
    records: list[Record] = []


class Gossip(Struct, array_like=True, tag=5, gc=False):
    """News and nothing else."""

    head: Head
    records: list[Record] = []


class About(Struct, array_like=True, tag=6, gc=False):
    """Something about a duty, or about shared state."""

    head: Head
    content: duties.Message | shared.Message
    records: list[Record] = []


Message = Ping | Ack | Ask | Nack | Gossip | About


class State(Struct, array_like=True, gc=False):
    """A whole view, as it is exchanged over a stream."""

    head: Head
    records: list[Record]


def size_of(message: Message) -> int:
    """Bytes that a message takes, about."""
    size = HEAD_BYTES + len(message.head.name) + sum(record.size() for record in message.records)
    if isinstance(message, About) and isinstance(message.content, shared.Pour):
        size += sum(ENTRY_BYTES + len(e.writer) + len(e.content) for e in message.content.entries)
    return size
