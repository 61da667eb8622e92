"""What a node requests and reports of tenants' quotas, and what the owner decides."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """What a node requests of its owner; the fields are those of the message `QuotaRequest`."""

    node: str
    tenant: str
    amount: float
    wanted_reserve: float  # amount that it would like to draw into its reserve as well
    current_share: float  # of the rate, that it holds
    autonomous: bool  # it spends that share now
    is_retry: bool = False  # its client was rejected before, so the request is late anyway


@dataclass(frozen=True, slots=True)
class QuotaHoldings:
    """What a node holds of tenants' quotas, as it reported on an epoch or a subscription."""

    epoch: int  # from then on it accepts shares from that epoch's owners only
    shares: dict[str, float]  # by tenant
    reserves: dict[str, float]  # by tenant


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """The owner's decision: the full amount was granted where there is no wait, else nothing was."""

    wait_ms: float
    reserve: float  # drawn beside it, for the node to keep
    share: float  # of the rate, that the node holds from now on
    scarce: bool = False  # demand exceeds the quota: waiting would only take it from others


@dataclass(frozen=True, slots=True)
class NotQuotaOwner:
    """The verdict of a replica that may not grant: it does not own the quota, or holds no lease."""
