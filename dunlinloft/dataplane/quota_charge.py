"""What a request is charged to its tenant's quota, how long that may take, and the outcomes."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from dunlinloft.coordination.quota.bounds import QuotaLimit
from dunlinloft.dataplane.causes import Cause

# How long the owner's response is waited for before the node's reserve is spent instead.
OWNER_TIMEOUT_S = 0.03
# Share of the latency target within which a late response of an owner that is alive is still waited for.
LATE_RESPONSE_TARGET_SHARE = 0.5
# A request whose client can't retry is retried for this share of its remaining time, and no longer than
# the maximum: clients abandon a stream that sends nothing for two seconds.
RETRY_REMAINING_SHARE = 0.45
MAX_RETRY_DURATION_MS = 1_000.0


class Granted(Struct, frozen=True):
    """The request is within the quota, and charged."""


class OverQuota(Struct, frozen=True):
    """The request is not within the quota; the client may retry after `wait_ms`."""

    wait_ms: float
    cause: Cause
    final: bool = False  # the quota is scarce: waiting at this node is of no use


@dataclass(frozen=True, slots=True)
class QuotaCharge:
    """One request's charge. Durations in milliseconds."""

    tenant: str
    amount: float  # in the unit of the tenant's quota
    limit: QuotaLimit
    late_response_timeout_ms: float  # how long a response is waited for as long as the owner is alive
    retry_duration_ms: float  # how long the charge is retried at this node; 0 if the client does that
    is_retry: bool = False  # the client was refused before


def quota_charge(
    tenant: str,
    amount: float,
    limit: QuotaLimit,
    latency_target_ms: float,
    waited_ms: float,
    remaining_ms: float,
) -> QuotaCharge:
    """Decide how long a request may wait for its quota, by the time its client has waited (`waited_ms`).

    A first attempt that can't be charged is refused at once: its client retries when told to, and
    is still in time. One that came back has no attempt left, so it waits here, for an owner and for its
    quota. If the quota is scarce it is refused at once: what comes in next is better spent on a request in
    time.
    """
    is_retry = waited_ms > 0.0
    retry_duration_ms = min(MAX_RETRY_DURATION_MS, RETRY_REMAINING_SHARE * remaining_ms) if is_retry else 0.0
    late_response_timeout_ms = max(1_000.0 * OWNER_TIMEOUT_S, LATE_RESPONSE_TARGET_SHARE * latency_target_ms)
    return QuotaCharge(tenant, amount, limit, late_response_timeout_ms, retry_duration_ms, is_retry)
