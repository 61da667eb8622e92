"""A simulated machine: a disk, and a replica's process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from dunlinloft.coordination.records import DurableState, Record
from dunlinloft.coordination.replica import Replica


class ObservedMachine(Protocol):
    """The part of a simulated machine that `InvariantChecker` inspects."""

    @property
    def address(self) -> str:
        """Address of the replica's internal listener."""

    @property
    def durable(self) -> DurableState | None:
        """The state on the disk; None while the disk is empty."""

    @property
    def replica(self) -> Replica | None:
        """The running replica; None while its process is down."""

    @property
    def generation(self) -> int:
        """Identifies the run of the process."""


@dataclass(slots=True)
class Machine:
    """One machine; its disk survives its process. Changed by `Cluster`, inspected by `InvariantChecker`."""

    address: str
    stateful: bool = True  # has a disk and votes; its loss counts against the tolerance
    durable: DurableState | None = None  # the state on the disk; None while it is empty
    replica: Replica | None = None  # None while the process is down
    generation: int = 0  # changes at start and kill; events of earlier generations are dropped
    frozen: bool = False
    removed: bool = False  # permanently
    sync_slowdown: float = 1.0  # factor on the duration of its disk's syncs
    stalled: bool = False
    unsynced: list[tuple[int, Record]] = field(default_factory=list)  # (token, record) pairs not on disk yet
    writing: bool = False
    pending: list[Callable[[], None]] = field(default_factory=list)  # events deferred while frozen
