"""Imports aiohttp without loading the system's certificate authorities.

aiohttp creates a verifying TLS context at import, and loading the certificate store for it adds 50 ms to each
start. No listener or client of the two programs uses TLS (services have `tls = false`).
"""

from __future__ import annotations

import ssl
from typing import Any


def _context_without_certificates(*_: Any, **__: Any) -> ssl.SSLContext:
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def import_aiohttp() -> None:
    """Import aiohttp's client with TLS contexts that hold no certificates.

    Each program calls this once, before anything else imports aiohttp.
    """
    original = ssl.create_default_context
    ssl.create_default_context = _context_without_certificates
    try:
        import aiohttp  # noqa: F401
    finally:
        ssl.create_default_context = original
