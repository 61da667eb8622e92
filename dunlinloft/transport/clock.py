"""The steady clock of both programs."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Milliseconds of a clock that never goes back; its zero means nothing."""
    return time.monotonic() * 1_000.0
