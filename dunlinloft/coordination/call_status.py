"""Results of operator calls, as HTTP status codes."""

from __future__ import annotations

from enum import IntEnum


class CallStatus(IntEnum):
    """The status of a completed call; every status except `UNAVAILABLE` is final for this request."""

    OK = 200
    INVALID = 400  # the change must not be applied, whatever the current version
    BASE_NOT_CURRENT = 412
    UNAVAILABLE = 503  # unknown outcome: the change may have been applied, or may still be
