"""The monotonic clock of both programs."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Milliseconds of the monotonic clock; only differences between two readings mean anything."""
    return time.monotonic() * 1_000.0
