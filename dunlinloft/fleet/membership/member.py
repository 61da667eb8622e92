"""The known state of one other member, with a round-trip estimate of the link to it."""

from __future__ import annotations

from collections.abc import Iterable

from dunlinloft.fleet.messages import ALIVE, DEAD, LEFT, SUSPECT, MetadataValue, Precedence, Record
from dunlinloft.fleet.rendezvous import rank

# Independent suspecters that are stored and sent: the first and `suspicion_timeout.FULL_CONFIRMATIONS` more.
MAX_SUSPECTED_BY = 4

# Round-trip estimator of Jacobson and Karels, "Congestion Avoidance and Control" (1988), appendix A.
RTT_GAIN = 1.0 / 8.0
RTT_DEVIATION_GAIN = 1.0 / 4.0
RTT_DEVIATIONS = 4.0  # deviations added to the smoothed round trip to get the time-out
INITIAL_RTT_MS = 20.0
INITIAL_RTT_DEVIATION_MS = 20.0
MIN_ACK_TIMEOUT_MS = 40.0
MAX_ACK_TIMEOUT_MS = 400.0


class Member:
    """The known state of one member. Written by `View` and by the layers of `Membership`.

    Attributes
    ----------
    incarnation: identifies the process with this name; -1 before the first record.
    revision: how often that process has refuted a suspicion or its death.
    status: one of `messages.ALIVE`, `SUSPECT`, `DEAD`, `LEFT`.
    status_since_ms: when the status or the incarnation last changed, or a suspect last sent an ack.
    suspected_by: names of the members that suspect it, at most `MAX_SUSPECTED_BY`.
    suspicion_timer: token of the timer of its suspicion, 0 if none.
    final_probe: number of the last probe before it is declared dead, 0 if none.
    view_digest: latest digest that it reported of its view.
    diverged_since_ms: time since which that digest differs from ours, -1 while they agree.
    digest_bits: contribution of this member to the digest of the local view.
    """

    __slots__ = (
        "address", "digest_bits", "diverged_since_ms", "final_probe", "incarnation", "metadata",
        "metadata_version", "name", "revision", "status", "status_since_ms", "suspected_by",
        "suspicion_timer", "uid", "view_digest", "_rtt_deviation_ms", "_rtt_ms",
    )  # fmt: skip

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.incarnation = -1
        self.revision = 0
        self.status = DEAD
        self.uid = 0
        self.address = ""
        self.metadata: dict[str, MetadataValue] = {}
        self.metadata_version = -1
        self.suspected_by: list[str] = []
        self.status_since_ms = now
        self.view_digest = 0
        self.diverged_since_ms = -1.0
        self.suspicion_timer = 0
        self.final_probe = 0
        self.digest_bits = 0
        self._rtt_ms = INITIAL_RTT_MS
        self._rtt_deviation_ms = INITIAL_RTT_DEVIATION_MS

    def precedence(self) -> Precedence:
        """Return the sort key defined by `Record.precedence`."""
        return self.incarnation, self.status == LEFT, self.revision, self.status

    def is_alive(self) -> bool:
        """Return whether it is alive or suspect; a suspect counts as alive until declared dead."""
        return self.status in (ALIVE, SUSPECT)

    def to_record(self, include_metadata: bool = True) -> Record:
        """Return the record to send; metadata is included only for a live member."""
        return Record(
            self.name,
            self.incarnation,
            self.revision,
            self.status,
            self.uid,
            self.address,
            self.metadata_version,
            self.metadata if include_metadata and self.is_alive() else None,
            self.suspected_by if self.status == SUSPECT else [],
        )

    def update_digest_bits(self) -> None:
        """Recompute `digest_bits` from the name and the incarnation."""
        self.digest_bits = digest_bits(self.name, self.incarnation)

    def observe_rtt(self, rtt_ms: float) -> None:
        """Add a measured round trip (ms) to the estimate."""
        self._rtt_deviation_ms += RTT_DEVIATION_GAIN * (abs(rtt_ms - self._rtt_ms) - self._rtt_deviation_ms)
        self._rtt_ms += RTT_GAIN * (rtt_ms - self._rtt_ms)

    def smoothed_rtt_ms(self) -> float:
        """Return the smoothed round-trip time."""
        return self._rtt_ms

    def ack_timeout_ms(self) -> float:
        """Return the time-out for an ack, from the sending of the ping."""
        timeout_ms = self._rtt_ms + RTT_DEVIATIONS * self._rtt_deviation_ms
        return min(MAX_ACK_TIMEOUT_MS, max(MIN_ACK_TIMEOUT_MS, timeout_ms))


def digest_bits(name: str, incarnation: int) -> int:
    """Return the bits that a member contributes, by XOR, to the digest of a view; equal on all processes."""
    return int.from_bytes(rank(name, incarnation), "big")


def merge_suspecters(*suspecters: Iterable[str]) -> list[str]:
    """Return the first `MAX_SUSPECTED_BY` names in sorted order, whatever order they arrive in."""
    return sorted({name for names in suspecters for name in names})[:MAX_SUSPECTED_BY]
