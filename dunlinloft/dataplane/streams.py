"""What the parts of a node need of its streams to the control plane."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from dunlinloft.coordination.stream import Replicas


class ControlStreams(Protocol):
    """The streams: who the control plane is, and messages to its replicas by address."""

    @property
    def replicas(self) -> Replicas | None:
        """The control plane as it was told last; None before that."""

    def alive(self, address: str) -> bool:
        """Whether a replica's stream is up, and was heard or begun of late."""

    def send(self, address: str, message: Struct) -> bool:
        """Send to one replica; whether there is a stream to it."""


class NoStreams:
    """No control plane: nobody is there to be asked."""

    replicas: Replicas | None = None

    def alive(self, _: str) -> bool:
        """Nobody is."""
        return False

    def send(self, _: str, __: Struct) -> bool:
        """Nothing goes out."""
        return False
