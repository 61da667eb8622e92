"""Why a request is refused or given up: each answer of our own has one of these, and is counted by it."""

from __future__ import annotations

import enum


class Cause(enum.StrEnum):
    """A reason; its value is the label of a metric (`docs/router-operations.md`)."""

    STARTING = "starting"  # no configuration yet
    CLOSING = "closing"  # the process ends
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BODY_LARGE = "body_large"
    BODY_LATE = "body_late"
    QUOTA_OWNER = "quota_owner"  # its owner says that the tenant's quota is used up
    QUOTA_RECENT = "quota_recent"  # it said so a moment ago, for no larger request
    QUOTA_ALONE = "quota_alone"  # no owner answers, and this node holds too little
    NO_TIME = "no_time"  # its deadline has passed before it was sent
    NO_SERVER = "no_server"  # none is known that may be sent to
    UNREACHED = "unreached"  # connections failed
    DECLINED = "declined"  # by a server, without running it
    BROKEN = "broken"  # a server's connection broke off
    LATE = "late"  # its deadline passed at a server
    FOREIGN = "foreign"  # what came is no answer to it
