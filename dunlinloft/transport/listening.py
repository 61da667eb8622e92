"""Listens before the rest of a program is loaded: who connects meanwhile waits, and is not reset."""

from __future__ import annotations

import socket

from dunlinloft.settings import host_port

BACKLOG = 1_024  # connections that may wait to be accepted


def listen(address: str) -> socket.socket:
    """A listening socket on host:port. Raises `OSError` where it can't be had."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setblocking(False)
    listening.bind(host_port(address))
    listening.listen(BACKLOG)
    return listening
