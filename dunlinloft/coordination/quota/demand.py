"""Quota requests and reports of nodes, and the owner's decisions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """A node's request to the owner of a quota; its fields are those of the `QuotaRequest` message."""

    node: str
    tenant: str
    amount: float
    wanted_reserve: float  # amount that the node wants to draw into its reserve in addition
    current_share: float  # fraction of the rate that the node holds
    autonomous: bool  # the node is spending that share without the owner
    is_retry: bool = False  # the client was rejected before, so the request is already late


@dataclass(frozen=True, slots=True)
class QuotaHoldings:
    """The shares and reserves that a node holds, as reported on an epoch change or a subscription."""

    epoch: int  # from this epoch on, the node accepts shares only from the epoch's owners
    shares: dict[str, float]  # by tenant
    reserves: dict[str, float]  # by tenant


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """The owner's decision: the full amount is granted if `wait_ms` is 0, otherwise nothing is."""

    wait_ms: float
    reserve: float  # amount drawn in addition, for the node's reserve
    share: float  # fraction of the rate that the node holds from now on
    scarce: bool = False  # demand exceeds the quota: a waiting request would only displace others


@dataclass(frozen=True, slots=True)
class NotQuotaOwner:
    """Reply of a replica that may not grant, because it does not own the quota or holds no lease."""
