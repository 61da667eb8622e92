"""The node's clock."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0
