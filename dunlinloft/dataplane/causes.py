"""Causes of refusals: each response that the node generates itself has one, and metrics count it by cause."""

from __future__ import annotations

import enum


class Cause(enum.StrEnum):
    """Why a request was refused or abandoned.

    The value is the `cause` label of `dunlinloft_refusals_total` (`docs/router-operations.md`). Members are
    named after their values, so that a label seen in a dashboard can be found here.
    """

    STARTING = "starting"  # no configuration is active yet
    CLOSING = "closing"  # the process is shutting down
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BODY_LARGE = "body_large"
    BODY_LATE = "body_late"
    QUOTA_OWNER = "quota_owner"  # the quota's owner replied that the tenant's quota is exhausted
    QUOTA_RECENT = "quota_recent"  # the owner recently denied a request that was no larger
    QUOTA_ALONE = "quota_alone"  # no owner responds, and this node's reserve is too small
    NO_TIME = "no_time"  # the deadline passed before the request was sent
    NO_SERVER = "no_server"  # no known server is eligible
    UNREACHED = "unreached"  # no connection to a server could be established
    DECLINED = "declined"  # a server declined without executing the request
    BROKEN = "broken"  # a server's connection broke
    LATE = "late"  # the deadline passed while the request was at a server
    FOREIGN = "foreign"  # the response does not belong to the request
