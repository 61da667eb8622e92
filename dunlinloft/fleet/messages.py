"""Messages between members, as typed values; `dunlinloft.fleet.wire` encodes them.

Each is encoded as an array: a newer version may add fields at the end, which an older one skips. So the
order of fields and the tags never change, while their names here are free.
"""

from __future__ import annotations

from msgspec import Struct

from dunlinloft.fleet.leases import messages as lease_messages
from dunlinloft.fleet.shared_state import messages as shared_state_messages

VERSION = 1  # of the format, the first byte of each datagram and state
MetadataValue = str | float | bool

# Status of a member, in order of precedence within one revision. Plain integers, as encoded: a status that
# is not known here is one of a newer version, and its record is ignored.
ALIVE = 0
SUSPECT = 1
DEAD = 2
LEFT = 3
STATUS_NAMES = ("alive", "suspect", "dead", "left")  # by status

Precedence = tuple[int, bool, int, int]  # incarnation, whether it has left, revision, status

# Estimated encoded sizes, near enough to fill a datagram; test_membership checks them against `fleet.wire`.
HEADER_BYTES = 44  # without its name
RECORD_BYTES = 21  # without names, address and metadata
METADATA_VALUE_BYTES = 9  # without its key
ENTRY_BYTES = 26  # of shared state, without writer and content


class Record(Struct, array_like=True, gc=False):
    """What its sender believes of one member.

    Attributes
    ----------
    name: of the member, unique in the fleet.
    incarnation: the process under that name: its start by the wall clock (ms), or a number beyond.
    revision: how often that process has refuted a suspicion or its death; SWIM's incarnation number.
    status: `ALIVE`, `SUSPECT`, `DEAD` or `LEFT`.
    uid: of the process, 0 if not known; distinguishes two processes under one name.
    address: where it is reached, "" if not known.
    metadata_version: of the metadata, within the incarnation.
    metadata: of that version; None if it is not sent along.
    suspected_by: names of the members that suspect it.
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

    def precedence(self) -> Precedence:
        """Of two records of a name the one with the greater precedence wins."""
        return self.incarnation, self.status == LEFT, self.revision, self.status

    def estimated_size(self) -> int:
        """Estimate of its encoded size (bytes)."""
        size = RECORD_BYTES + len(self.name) + len(self.address) + sum(map(len, self.suspected_by))
        return size + (sum(len(key) + METADATA_VALUE_BYTES for key in self.metadata) if self.metadata else 0)


class Header(Struct, array_like=True, gc=False):
    """Who sends a message, the digest of its view, and how many members are alive in that."""

    name: str
    incarnation: int
    revision: int
    digest: int
    members: int = 0  # alive in its view; 0 where it is not sent


class Ping(Struct, array_like=True, tag=1, gc=False):
    """A probe of the member `target`, which answers with an `Ack` of the same number."""

    header: Header
    number: int
    target: str
    records: list[Record] = []


class Ack(Struct, array_like=True, tag=2, gc=False):
    """The member `target`, of this incarnation, is alive: sent by itself, or forwarded to the requester."""

    header: Header
    number: int
    target: str
    incarnation: int
    records: list[Record] = []


class PingRequest(Struct, array_like=True, tag=3, gc=False):
    """Requests an indirect probe of `target` at `address` (SWIM's ping-req)."""

    header: Header
    number: int
    target: str
    address: str
    records: list[Record] = []


class Nack(Struct, array_like=True, tag=4, gc=False):
    """The target of a `PingRequest` has not answered yet, while its sender is alive (Lifeguard)."""

    header: Header
    number: int
    records: list[Record] = []


class Gossip(Struct, array_like=True, tag=5, gc=False):
    """Records alone: updates that no probe has carried."""

    header: Header
    records: list[Record] = []


class ApplicationMessage(Struct, array_like=True, tag=6, gc=False):
    """A message of a layer above membership, leases or shared state, that rides on its datagrams."""

    header: Header
    content: lease_messages.Message | shared_state_messages.Message
    records: list[Record] = []


Message = Ping | Ack | PingRequest | Nack | Gossip | ApplicationMessage


class State(Struct, array_like=True, gc=False):
    """A complete view, as it is exchanged over a stream by push-pull."""

    header: Header
    records: list[Record]


def estimated_size(message: Message) -> int:
    """Estimate of the encoded size of a message (bytes)."""
    size = HEADER_BYTES + len(message.header.name)
    size += sum(record.estimated_size() for record in message.records)
    if isinstance(message, ApplicationMessage) and isinstance(
        message.content, shared_state_messages.PullResponse
    ):
        size += sum(ENTRY_BYTES + len(e.writer) + len(e.content) for e in message.content.entries)
    return size
