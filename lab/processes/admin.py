"""Requests to a node's admin endpoint and readiness check, with a timeout."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from lab.processes.block import Address

CALL_S = 1.5


async def call(address: Address, method: str, path: str) -> tuple[int, Any]:
    """Send a request; returns the status (0 without an answer) and the decoded JSON body or None."""
    writer = None
    try:
        async with asyncio.timeout(CALL_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n\r\n".encode())
            data = await reader.read()
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    head, _, content = data.partition(b"\r\n\r\n")
    parts = head.split(b" ", 2)
    status = int(parts[1]) if len(parts) > 2 and parts[1].isdigit() else 0
    with contextlib.suppress(ValueError):
        return status, json.loads(content)
    return status, None
