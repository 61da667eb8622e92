"""Imported before aiohttp: keeps it from loading every certificate authority at its import.

Nothing here speaks TLS (services have `tls = false`), and the store costs 50 ms of each start.
"""

from __future__ import annotations

import ssl
from typing import Any


def _bare_context(*_: Any, **__: Any) -> ssl.SSLContext:
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def import_aiohttp() -> None:
    """Import aiohttp's client with contexts that hold no certificates."""
    real = ssl.create_default_context
    ssl.create_default_context = _bare_context
    try:
        import aiohttp  # noqa: F401
    finally:
        ssl.create_default_context = real
