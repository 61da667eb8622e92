"""What members tell each other, as typed values. `dunlinloft.fleet.wire` puts them into bytes.

Each is written as an array, so a later version may add fields at the end, which an older one skips.
"""

from __future__ import annotations

from msgspec import Struct

from dunlinloft.fleet.leases import messages as duties
from dunlinloft.fleet.shared_state import messages as shared

VERSION = 1
MetadataValue = str | float | bool

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATUS_NAMES = ("alive", "suspect", "dead", "left")

# What a message costs in bytes, near enough to fill a datagram: checked against `fleet.wire` by a test.
HEADER_BYTES, RECORD_BYTES, ENTRY_BYTES = 44, 21, 26


class Record(Struct, array_like=True, gc=False):
    """What is said of one member.

    A life is one process; its revisions are its answers to what was said against it. `facts` are
    those of its own `version`; None where they are not told here. `accusers` are who suspect it.
    """

    name: str
    incarnation: int
    revision: int
    status: int
    uid: int
    address: str = ""
    metadata_version: int = 0
    metadata: dict[str, MetadataValue] | None = None
    suspected_by: list[str] = []

    def precedence(self) -> tuple[int, bool, int, int]:
        """Of two records of a name the one with the greater key holds."""
        return self.incarnation, self.status == LEFT, self.revision, self.status

    def estimated_size(self) -> int:
        """Bytes that it takes, about."""
        size = RECORD_BYTES + len(self.name) + len(self.address) + sum(map(len, self.suspected_by))
        return size + (sum(len(name) + 9 for name in self.metadata) if self.metadata else 0)


class Header(Struct, array_like=True, gc=False):
    """Who says it, and the digest of its view."""

    name: str
    incarnation: int
    revision: int
    digest: int
    members: int = 0  # that it takes for alive


class Ping(Struct, array_like=True, tag=1, gc=False):
    """Are you there? `whom` is who is meant."""

    header: Header
    number: int
    target: str
    records: list[Record] = []


class Ack(Struct, array_like=True, tag=2, gc=False):
    """I am, or, with `whom`, that one is."""

    header: Header
    number: int
    target: str
    incarnation: int
    records: list[Record] = []


class PingRequest(Struct, array_like=True, tag=3, gc=False):
    """Ping that one for me."""

    header: Header
    number: int
    target: str
    address: str
    records: list[Record] = []


class Nack(Struct, array_like=True, tag=4, gc=False):
    """I could not reach it, but you reach me."""

    header: Header
    number: int
    records: list[Record] = []


class Gossip(Struct, array_like=True, tag=5, gc=False):
    """News and nothing else."""

    header: Header
    records: list[Record] = []


class ApplicationMessage(Struct, array_like=True, tag=6, gc=False):
    """Something about a duty, or about shared state."""

    header: Header
    content: duties.Message | shared.Message
    records: list[Record] = []


Message = Ping | Ack | PingRequest | Nack | Gossip | ApplicationMessage


class State(Struct, array_like=True, gc=False):
    """A whole view, as it is exchanged over a stream."""

    header: Header
    records: list[Record]


def estimated_size(message: Message) -> int:
    """Bytes that a message takes, about."""
    size = (
        HEADER_BYTES + len(message.header.name) + sum(record.estimated_size() for record in message.records)
    )
    if isinstance(message, ApplicationMessage) and isinstance(message.content, shared.Pour):
        size += sum(ENTRY_BYTES + len(e.writer) + len(e.content) for e in message.content.entries)
    return size
