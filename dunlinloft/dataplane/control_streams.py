"""What the request path needs of the streams to the control plane."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from dunlinloft.coordination.stream import ControlPlaneView


class ControlStreams(Protocol):
    """The control plane's current replicas, and messages to them by address.

    Implemented by `ReplicaStreams`; used by `QuotaClient` and `PlacementClient`.
    """

    @property
    def view(self) -> ControlPlaneView | None:
        """The control plane as last announced; None before the first announcement."""

    def alive(self, address: str) -> bool:
        """Whether a replica's stream is up and was opened or received from recently."""

    def send(self, address: str, message: Struct) -> bool:
        """Send to one replica; returns whether there is a stream to it."""


class NoControlStreams:
    """The null object: no control plane, as on the request path that tests run alone."""

    view: ControlPlaneView | None = None

    def alive(self, _: str) -> bool:
        """No replica is alive."""
        return False

    def send(self, _: str, __: Struct) -> bool:
        """Nothing is sent."""
        return False
