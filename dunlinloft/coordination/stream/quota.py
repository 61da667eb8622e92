"""Quota messages between a node and the owner of a tenant's quota, and between successive owners.

Amounts are in the unit of the tenant's quota, requests or tokens. Shares are fractions of the tenant's rate.
A node may spend its standing share while no owner responds.
"""

from __future__ import annotations

from msgspec import Struct, field


class QuotaHoldingsReport(Struct, frozen=True, tag="holds_shares"):
    """From a node: its shares and reserves of tenants' quotas; sent as soon as it learns of a new epoch."""

    epoch: int  # from now on the node accepts shares only from owners in this epoch
    shares: dict[str, float]  # by tenant: its standing share of the rate
    reserves: dict[str, float] = {}  # by tenant: the unspent amount drawn from an owner


class QuotaRequest(Struct, frozen=True, tag="take_quota"):
    """From a node: requests an amount of a tenant's quota from its owner.

    Attributes
    ----------
    request_id
        Correlates the `QuotaGrant`.
    wanted_reserve
        Additional amount requested for the node's reserve.
    current_share
        The node's current standing share of the tenant's rate.
    autonomous
        Whether the node is spending that share because no owner responds.
    is_retry
        Whether the client's request was rejected before.
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
        Amount granted; 0 if nothing is left.
    reserve
        Additional amount granted for the node's reserve.
    share
        The node's new standing share of the rate.
    wait_ms
        Time until the requested amount will be available.
    is_owner
        False if the replica that received the request does not currently own the quota.
    scarce
        Whether demand exceeds the quota, so that waiting is of no use.
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
    """From the owner of tenants' quotas to the next owner: the sender has stopped granting them."""

    epoch: int  # in which the receiver is the owner; the sender was the owner in the previous one
    levels: dict[str, float]  # by tenant: the remaining level of its token bucket
