"""The interface through which the request path uses the streams to the control plane."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from dunlinloft.coordination.stream import ControlPlaneView


class ControlStreams(Protocol):
    """The control plane's current view, and sending messages to its replicas by address.

    Implemented by `ReplicaStreams`; used by `QuotaClient` and `PlacementClient`.
    """

    @property
    def view(self) -> ControlPlaneView | None:
        """The control plane as last announced; None before the first announcement."""

    def alive(self, address: str) -> bool:
        """Whether a replica's stream is open, and was opened or received a message recently."""

    def send(self, address: str, message: Struct) -> bool:
        """Send to one replica; returns whether a stream to it is open."""


class NoControlStreams:
    """The null object, for tests that run the request path without a control plane."""

    view: ControlPlaneView | None = None

    def alive(self, _: str) -> bool:
        """Return False: there is no replica."""
        return False

    def send(self, _: str, __: Struct) -> bool:
        """Drop the message; returns False."""
        return False
