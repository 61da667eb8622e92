"""A simulated machine: a disk, and the process of a replica that may run on it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from dunlinloft.coordination.records import DurableState, Record
from dunlinloft.coordination.replica import Replica


class ObservedMachine(Protocol):
    """What `InvariantChecker` looks at, whatever simulates the machine."""

    @property
    def address(self) -> str:
        """Of the replica's internal listener."""

    @property
    def durable(self) -> DurableState | None:
        """The disk's contents; None: empty."""

    @property
    def replica(self) -> Replica | None:
        """The running replica; None: its process is down."""

    @property
    def generation(self) -> int:
        """Of the process."""


@dataclass(slots=True)
class Machine:
    """One machine: its disk outlives its process. Changed by `Cluster`, inspected by `InvariantChecker`."""

    address: str
    stateful: bool = True  # it has a disk, votes and holds state; its loss counts against the tolerance
    durable: DurableState | None = None  # the disk's contents; None: empty
    replica: Replica | None = None  # None: the process is down
    generation: int = 0  # of its process: events scheduled for an earlier one are dropped
    frozen: bool = False
    removed: bool = False  # permanently
    sync_slowdown: float = 1.0  # factor on the duration of its disk's syncs
    stalled: bool = False
    unsynced: list[tuple[int, Record]] = field(default_factory=list)  # (token, record) not on disk yet
    writing: bool = False
    pending: list[Callable[[], None]] = field(default_factory=list)  # events received while frozen
