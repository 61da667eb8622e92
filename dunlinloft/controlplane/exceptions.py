"""Exceptions raised by the control plane."""

from __future__ import annotations

from pathlib import Path


class ControlPlaneError(Exception):
    """Base class of all errors raised by `dunlinloft.controlplane`."""


class StoreError(ControlPlaneError):
    """A replica's data directory is unusable; the message names the file and the reason."""


class UnsupportedFormatError(StoreError):
    """A snapshot has a format that this program version can't read.

    Attributes
    ----------
    path:
        The snapshot file.
    found:
        The format number in the file.
    """

    def __init__(self, path: Path, found: int, expected: int) -> None:
        super().__init__(f"{path}: unsupported format {found}, expected {expected}")
        self.path = path
        self.found = found


class MemberCacheError(ControlPlaneError):
    """A member cache file is missing, corrupt or in another format."""

    def __init__(self, path: Path, reason: object) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class BodyTooLargeError(ControlPlaneError):
    """The body of an HTTP request exceeds its size limit."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f"request body exceeds {limit_bytes} bytes")
        self.limit_bytes = limit_bytes


class InvalidJsonError(ControlPlaneError):
    """A request body can't be decoded, or not be passed on unchanged; the message gives the reason."""
