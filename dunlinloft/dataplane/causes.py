"""Causes of refusals: every response that the node generates itself carries one and is counted under it."""

from __future__ import annotations

import enum


class Cause(enum.StrEnum):
    """Why a request was refused or abandoned.

    The value is the `cause` label of `dunlinloft_refusals_total` (`docs/router-operations.md`); members are
    named like their values, so that the label found in a dashboard can be searched for here.
    """

    STARTING = "starting"  # no configuration is active yet
    CLOSING = "closing"  # the process is shutting down
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BODY_LARGE = "body_large"
    BODY_LATE = "body_late"
    QUOTA_OWNER = "quota_owner"  # the quota's owner answered that the tenant's quota is exhausted
    QUOTA_RECENT = "quota_recent"  # it answered so a moment ago to a request that was no larger
    QUOTA_ALONE = "quota_alone"  # no owner answers and this node's reserve is too small
    NO_TIME = "no_time"  # the deadline passed before the request was sent
    NO_SERVER = "no_server"  # no known server may be sent to
    UNREACHED = "unreached"  # connections could not be established
    DECLINED = "declined"  # a server declined without executing the request
    BROKEN = "broken"  # a server's connection broke
    LATE = "late"  # the deadline passed while a server had the request
    FOREIGN = "foreign"  # the response does not belong to the request
