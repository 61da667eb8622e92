"""Sockets asked directly: the loop reads once a turn, and has not heard yet of what came since."""

from __future__ import annotations

import asyncio
import select


def shows(fd: int, event: int = select.POLLIN) -> bool:
    """Whether a socket shows an event now, or an error, without waiting."""
    poll = select.poll()
    poll.register(fd, event)
    return bool(poll.poll(0))


def descriptor(transport: asyncio.BaseTransport) -> int:
    """The file descriptor of a transport that is open."""
    fd: int = transport.get_extra_info("socket").fileno()
    return fd
