"""Messages between members; `dunlinloft.fleet.wire` encodes them.

Each message is encoded as an array. A newer version may append fields, which an older version skips.
Therefore the tags and the order of the fields never change, whereas the field names are not on the wire.
"""

from __future__ import annotations

from msgspec import Struct

from dunlinloft.fleet.leases import messages as lease_messages
from dunlinloft.fleet.shared_state import messages as shared_state_messages

VERSION = 1  # format version: the first byte of each datagram and state
MetadataValue = str | float | bool

# Status of a member, in order of precedence within one revision. Plain integers, as on the wire: an unknown
# status comes from a newer version, and its record is ignored.
ALIVE = 0
SUSPECT = 1
DEAD = 2
LEFT = 3
STATUS_NAMES = ("alive", "suspect", "dead", "left")  # indexed by status

Precedence = tuple[int, bool, int, int]  # incarnation, whether it has left, revision, status

# Estimated encoded sizes, accurate enough to fill a datagram; test_member_wire checks them against
# `fleet.wire`.
HEADER_BYTES = 44  # excluding the name
RECORD_BYTES = 21  # excluding names, address and metadata
METADATA_VALUE_BYTES = 9  # excluding the key
ENTRY_BYTES = 26  # an entry of shared state, excluding writer and content


class Record(Struct, array_like=True, gc=False):
    """The sender's knowledge of one member.

    Attributes
    ----------
    name: name of the member, unique in the fleet.
    incarnation: distinguishes processes with that name: start time by the wall clock (ms), or later.
    revision: how often that process has refuted a suspicion or its death; SWIM's incarnation number.
    status: `ALIVE`, `SUSPECT`, `DEAD` or `LEFT`.
    uid: unique id of the process, 0 if unknown; distinguishes two processes with the same name.
    address: address of the process, "" if unknown.
    metadata_version: version of the metadata within the incarnation.
    metadata: metadata of that version; None if not included.
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
        """Return the sort key by which the greater of two records with the same name wins."""
        return self.incarnation, self.status == LEFT, self.revision, self.status

    def estimated_size(self) -> int:
        """Return the estimated encoded size in bytes."""
        size = RECORD_BYTES + len(self.name) + len(self.address) + sum(map(len, self.suspected_by))
        return size + (sum(len(key) + METADATA_VALUE_BYTES for key in self.metadata) if self.metadata else 0)


class Header(Struct, array_like=True, gc=False):
    """The sender of a message, with the digest of its view and the number of members alive in it."""

    name: str
    incarnation: int
    revision: int
    digest: int
    members: int = 0  # alive in the sender's view; 0 if not sent


class Ping(Struct, array_like=True, tag=1, gc=False):
    """A probe of the member `target`, which responds with an `Ack` of the same number."""

    header: Header
    number: int
    target: str
    records: list[Record] = []


class Ack(Struct, array_like=True, tag=2, gc=False):
    """Confirms that this incarnation of `target` is alive; sent by itself or forwarded to the requester."""

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
    """Reports that the target of a `PingRequest` has not responded, but the sender is alive (Lifeguard)."""

    header: Header
    number: int
    records: list[Record] = []


class Gossip(Struct, array_like=True, tag=5, gc=False):
    """Updates that are sent without a probe."""

    header: Header
    records: list[Record] = []


class ApplicationMessage(Struct, array_like=True, tag=6, gc=False):
    """A message of a higher layer (leases or shared state), carried in a membership datagram."""

    header: Header
    content: lease_messages.Message | shared_state_messages.Message
    records: list[Record] = []


Message = Ping | Ack | PingRequest | Nack | Gossip | ApplicationMessage


class State(Struct, array_like=True, gc=False):
    """A complete view, exchanged over a stream by push-pull."""

    header: Header
    records: list[Record]


def estimated_size(message: Message) -> int:
    """Return the estimated encoded size of a message in bytes."""
    size = HEADER_BYTES + len(message.header.name)
    size += sum(record.estimated_size() for record in message.records)
    if isinstance(message, ApplicationMessage) and isinstance(
        message.content, shared_state_messages.PullResponse
    ):
        size += sum(ENTRY_BYTES + len(e.writer) + len(e.content) for e in message.content.entries)
    return size
