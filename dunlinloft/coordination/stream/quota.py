"""Quota messages between a node and the owner of a tenant's quota, and between two owners.

Amounts are in what the tenant's quota counts: requests or tokens. Shares are fractions of the tenant's rate.
"""

from __future__ import annotations

from msgspec import Struct, field


class QuotaHoldingsReport(Struct, frozen=True, tag="holds_shares"):
    """From a node: what it holds of tenants' quotas; sent as soon as it learns of a new epoch."""

    epoch: int  # from now on the node accepts shares from this epoch's owners only
    shares: dict[str, float]  # by tenant: its standing share of the rate
    reserves: dict[str, float] = {}  # by tenant: what it drew from an owner and has not spent


class QuotaRequest(Struct, frozen=True, tag="take_quota"):
    """From a node: requests an amount of a tenant's quota from its owner.

    Attributes
    ----------
    request_id
        Correlates the `QuotaGrant`.
    wanted_reserve
        Amount that the node would like to draw into its reserve as well.
    current_share
        Standing share of the tenant's rate that the node holds now.
    autonomous
        The node spends that share, as no owner answers it.
    is_retry
        The node's client was rejected before.
    """

    request_id: int = field(name="number")
    tenant: str
    amount: float
    wanted_reserve: float = field(name="reserve")
    current_share: float = field(name="share")
    autonomous: bool = field(name="alone")
    is_retry: bool = field(default=False, name="returned")


class QuotaGrant(Struct, frozen=True, tag="quota_granted"):
    """To a node: the reply to `QuotaRequest`.

    Attributes
    ----------
    amount
        Amount granted; 0 where nothing is left.
    reserve
        Amount drawn for the node's reserve beside it.
    share
        Standing share of the rate that the node holds from now on.
    wait_ms
        Time until the requested amount will be available.
    is_owner
        False where the replica that received the request does not own the quota now.
    scarce
        Demand exceeds the quota, so that waiting is of no use.
    """

    request_id: int = field(name="number")
    tenant: str
    amount: float
    reserve: float
    share: float
    wait_ms: float
    is_owner: bool = field(default=True, name="owner")
    scarce: bool = False


class QuotaHandover(Struct, frozen=True, tag="quotas_handed_over"):
    """From the owner of tenants' quotas to the next owner: the sender grants nothing of them any more."""

    epoch: int  # in which the receiver is the owner; the sender was in the one before
    levels: dict[str, float]  # by tenant: what was left in its bucket
