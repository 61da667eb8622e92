"""The messages and records of a release: the stored plan, the controller's orders, and members' tallies."""

from __future__ import annotations

from enum import StrEnum

import msgspec
from msgspec import Struct

RELEASE_KEY = "release"  # key of the state table's row for the latest release
# With these limits a plan fits a row of the state table (`leases.table_rows.MAX_VALUE_BYTES`).
MAX_STAGES = 8
MAX_SERVER_NAMES = 12
MAX_REASON_CHARS = 90
MAX_OPERATOR_CHARS = 30
LATENCY_BUCKETS = 8  # bounded by the octiles of the old servers' latencies


class ReleaseState(StrEnum):
    """The state of a release; the values are stored, and shown to operators."""

    BAKING = "baking"  # proceeds through its stages
    PAUSED = "paused"  # by operators, at its current share
    HALTED = "halted"  # by operators, at its current share
    ROLLING_BACK = "back"
    DONE = "done"
    ROLLED_BACK = "undone"


TERMINAL_STATES = (ReleaseState.DONE, ReleaseState.ROLLED_BACK)


class Plan(
    Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "started_since_ms": "since_ms",
        "server_names": "named",
        "changed_by": "by",
        "reason": "why",
        "changed_at_s": "at_s",
    },
):
    """One release of servers, stored as JSON: which servers are new, its stages, and its progress.

    Servers are new if they started at `started_since_ms` (Unix time) or later, or are in `server_names`.
    """

    id: int
    state: str  # a `ReleaseState`; a plain string, as a later version may store an unknown state
    stages: tuple[float, ...]  # the new servers' share of first attempts in each stage
    bake_s: float  # minimum duration of each stage
    stage: int = 0  # index of the current stage
    share: float = 0.0  # the new servers' current maximum share of first attempts
    started_since_ms: float = 0.0
    server_names: tuple[str, ...] = ()
    changed_by: str = ""
    reason: str = ""  # of the latest change
    changed_at_s: int = 0  # Unix time of the latest change, for operators

    def encode(self) -> bytes:
        """Encode as a row's value."""
        return msgspec.json.encode(self)


def decode_plan(value: bytes) -> Plan | None:
    """Decode a row's value; None where it is malformed."""
    try:
        return msgspec.json.decode(value, type=Plan)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class Order(Struct, array_like=True, gc=False, frozen=True):
    """A controller's order to all members: new servers get at most a share of first attempts."""

    token: int  # the controller's fencing token
    step: int  # sequence number among the controller's orders
    release_id: int = 0  # 0: there is no release
    share: float = 1.0
    started_since_ms: float = 0.0
    server_ids: tuple[int, ...] = ()
    active: bool = False  # the release is being judged, so members have to count calls
    rolling_back: bool = False  # the state table's row may not say so yet

    def version(self) -> tuple[int, int]:
        """Return the precedence: of two orders the one with the greater version is valid."""
        return self.token, self.step


NO_ORDER = Order(0, 0)


class CallCounts(Struct, array_like=True, gc=False):
    """Calls of one class to one zone's servers since the release began, to new and to old servers.

    The latencies are counts of successful responses by bucket, the fastest first, without servers that are
    warming up; the buckets are bounded by the octiles of the old servers' latencies.
    """

    class_id: int
    zone_id: int
    new: int
    new_failed: int
    new_latencies: list[int]
    old: int
    old_failed: int
    old_latencies: list[int]


def empty_counts(class_id: int, zone_id: int) -> CallCounts:
    """Return the counts of a class and zone without calls."""
    return CallCounts(class_id, zone_id, 0, 0, [0] * LATENCY_BUCKETS, 0, 0, [0] * LATENCY_BUCKETS)


class Tally(Struct, array_like=True, gc=False):
    """A member's report: its counts, the order that it has applied, and its servers' weights."""

    order: Order
    tier: int
    counts: list[CallCounts]
    new_weight: float  # total of the new servers, by warm-up and state
    old_weight: float
    restarts: int  # of new servers, as seen by this member
