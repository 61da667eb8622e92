"""Loops that a process can't do without."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from absl import logging


async def guarded(loop: Coroutine[Any, Any, None], node: str) -> None:
    """Run a loop; one that fails says so and ends the process, which the platform starts again."""
    try:
        await loop
    except asyncio.CancelledError:
        raise
    except Exception:
        logging.exception("event=loop_failed node=%s", node)
        raise SystemExit(1) from None
