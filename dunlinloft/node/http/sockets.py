"""Polls sockets for events that the event loop has not reported yet: it reads once per iteration."""

from __future__ import annotations

import asyncio
import select


def has_event(fd: int, event: int = select.POLLIN) -> bool:
    """Return whether a socket has an event or an error pending, without blocking."""
    poll = select.poll()
    poll.register(fd, event)
    return bool(poll.poll(0))


def file_descriptor(transport: asyncio.BaseTransport) -> int:
    """Return the file descriptor of an open transport."""
    fd: int = transport.get_extra_info("socket").fileno()
    return fd
