"""The heartbeat between replicas, the input of failure detection, leases and view planning."""

from __future__ import annotations

from msgspec import Struct, field

from dunlinloft.coordination.views import Member


class Heartbeat(Struct, frozen=True, tag="ping"):
    """A heartbeat with the sender's state and connectivity. Sent to every known replica."""

    sender: Member
    quorum_eligible: bool = field(name="counts")  # it has a disk: it may vote and be in the chain
    healthy: bool = field()  # its disk completes writes in time
    leaving: bool = field()  # its process shuts down once it is no longer needed
    epoch: int = field()  # of its latest durable view
    synced_epoch: int = field()  # the last in which it was found equal to its predecessor
    lease_epoch: int = field()  # its epoch, or 0 if it has accepted a later view
    sent_ms: float = field(name="stamp_ms")  # the sender's monotonic clock
    echoes: dict[str, float] = field()  # by member received from recently: `sent_ms` of its last heartbeat
    known_addresses: tuple[str, ...] = field(name="known")  # of control planes
    uptime_ms: float = 0.0  # since its process started
