"""The heartbeat between replicas: the input of failure detection, leases and view planning."""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.views import Member


class Heartbeat(Struct, frozen=True, tag="ping"):
    """A heartbeat, with what its sender receives and holds. Sent to every known replica."""

    sender: Member
    quorum_eligible: bool = field(name="counts")  # it has a disk: it may vote and be in the chain
    healthy: bool = field()  # its disk answers
    leaving: bool = field()  # its process shuts down as soon as others can do without it
    epoch: int = field()  # of the view that it has on disk
    synced_epoch: int = field()  # the last in which it was found equal to its predecessor
    lease_epoch: int = field()  # its epoch, or 0 where it has accepted a view after it
    sent_ms: float = field(name="stamp_ms")  # the sender's monotonic clock
    echoes: dict[str, float] = field()  # by member received from of late: `sent_ms` of its last heartbeat
    known_addresses: tuple[str, ...] = field(name="known")  # of control planes
    uptime_ms: float = 0.0  # since its process began
