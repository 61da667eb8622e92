"""The errors that the control plane raises."""

from __future__ import annotations

from pathlib import Path


class ControlPlaneError(Exception):
    """The base of all errors raised by `dunlinloft.controlplane`."""


class StoreError(ControlPlaneError):
    """A replica's data directory can't be used; the text names the file and the reason."""


class UnsupportedFormatError(StoreError):
    """A snapshot has a format that this program can't read.

    Attributes
    ----------
    path:
        The snapshot's file.
    found:
        The format number in the file.
    """

    def __init__(self, path: Path, found: int, expected: int) -> None:
        super().__init__(f"{path}: format {found}, expected {expected}")
        self.path = path
        self.found = found


class MemberCacheError(ControlPlaneError):
    """A file of the member cache is missing, damaged or of another format."""

    def __init__(self, path: Path, reason: object) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class BodyTooLargeError(ControlPlaneError):
    """The body of an HTTP request exceeds its limit."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f"a body of at most {limit_bytes} bytes expected")
        self.limit_bytes = limit_bytes
