"""The charge of a request to its tenant's quota: amount, timeouts and outcomes."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import Struct

from dunlinloft.coordination.quota.bounds import QuotaLimit
from dunlinloft.dataplane.causes import Cause

# How long to wait for the owner's response before charging the node's reserve instead.
OWNER_TIMEOUT_S = 0.03
# Share of the latency target for which to wait for the late response of an owner that is alive.
LATE_RESPONSE_TARGET_SHARE = 0.5
# The charge of a request whose client can't retry is retried at the node, for this share of the request's
# remaining time and at most the maximum: clients abandon a stream that sends nothing for two seconds.
RETRY_REMAINING_SHARE = 0.45
MAX_RETRY_DURATION_MS = 1_000.0


class Granted(Struct, frozen=True):
    """The request is within the quota and has been charged."""


class OverQuota(Struct, frozen=True):
    """The request exceeds the quota; the client may retry after `wait_ms`."""

    wait_ms: float
    cause: Cause
    final: bool = False  # the quota is scarce, so that waiting at this node is of no use


@dataclass(frozen=True, slots=True)
class QuotaCharge:
    """The charge of one request. Durations in milliseconds."""

    tenant: str
    amount: float  # in the unit of the tenant's quota
    limit: QuotaLimit
    late_response_timeout_ms: float  # how long to wait for a response while the owner is alive
    retry_duration_ms: float  # how long to retry the charge at this node; 0 if the client retries
    is_retry: bool = False  # the client has been refused before


def quota_charge(
    tenant: str,
    amount: float,
    limit: QuotaLimit,
    latency_target_ms: float,
    waited_ms: float,
    remaining_ms: float,
) -> QuotaCharge:
    """Decide how long a request may wait for its quota, from the time its client has waited (`waited_ms`).

    A first attempt that can't be charged is refused at once: its client retries after the stated wait and
    can still meet its latency target. A retry has no attempt left, so it waits here for an owner and for its
    quota. It is refused at once if the quota is scarce, because what becomes available next is better spent
    on a request that can still meet its target.
    """
    is_retry = waited_ms > 0.0
    retry_duration_ms = min(MAX_RETRY_DURATION_MS, RETRY_REMAINING_SHARE * remaining_ms) if is_retry else 0.0
    late_response_timeout_ms = max(1_000.0 * OWNER_TIMEOUT_S, LATE_RESPONSE_TARGET_SHARE * latency_target_ms)
    return QuotaCharge(tenant, amount, limit, late_response_timeout_ms, retry_duration_ms, is_retry)
