"""The exceptions that this package raises."""

from __future__ import annotations


class TransportError(Exception):
    """Base of all exceptions raised by `dunlinloft.transport`."""


class ConnectError(TransportError):
    """A connection could not be established.

    Attributes
    ----------
    address:
        The host:port to connect to.
    """

    def __init__(self, address: str, cause: OSError) -> None:
        super().__init__(f"connecting to {address}: {str(cause) or 'timed out'}")
        self.address = address
