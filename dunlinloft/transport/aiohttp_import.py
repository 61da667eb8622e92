"""Imports aiohttp without loading the system's certificate authorities.

aiohttp builds a verifying TLS context when it is imported. No listener or client of the two programs speaks
TLS (services have `tls = false`), and reading the certificate store costs 50 ms of each start.
"""

from __future__ import annotations

import ssl
from typing import Any


def _context_without_certificates(*_: Any, **__: Any) -> ssl.SSLContext:
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def import_aiohttp() -> None:
    """Import aiohttp's client with TLS contexts that hold no certificates.

    The programs call this once, before their first own import of aiohttp.
    """
    original = ssl.create_default_context
    ssl.create_default_context = _context_without_certificates
    try:
        import aiohttp  # noqa: F401
    finally:
        ssl.create_default_context = original
