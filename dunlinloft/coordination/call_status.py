"""The outcomes of an operator's call, as HTTP statuses."""

from __future__ import annotations

from enum import IntEnum


class CallStatus(IntEnum):
    """How a call ended; every status but `UNAVAILABLE` is final for this request."""

    OK = 200
    INVALID = 400  # the change must not be applied, whatever the current version
    BASE_NOT_CURRENT = 412
    UNAVAILABLE = 503  # it is not known whether the change was, or will be, applied
