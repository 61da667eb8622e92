"""The monotonic clock of both programs."""

from __future__ import annotations

import time


def now_ms() -> float:
    """The monotonic clock in milliseconds; only differences between two readings are meaningful."""
    return time.monotonic() * 1_000.0
