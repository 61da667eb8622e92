"""What must hold for the control plane's replicas, whatever fails; a broken rule raises."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from dunlinloft.coordination.actions import Reply
from dunlinloft.coordination.records import DurableState
from dunlinloft.coordination.state import ChainState, ConfigurationChange
from dunlinloft.coordination.views import View

if TYPE_CHECKING:
    from lab.control.cluster import Machine


class Broken(AssertionError):
    """A rule was broken; the text says which and how."""


class Rules:
    """Everything that was seen so far."""

    def __init__(self, tolerance: int) -> None:
        self._tolerance = tolerance
        self._views: dict[int, View] = {}
        self._history: dict[int, str] = {}  # the digest of each committed sequence
        self._taken: dict[str, int] = {}  # committed orders, and their version
        self._refused: set[str] = set()
        self._acked: dict[str, ConfigurationChange] = {}
        self._acked_bases: dict[int, str] = {}
        self.newest_acked = 0
        self._committed_at: dict[tuple[str, int], int] = {}  # by machine and life: no way back
        self._lost_disks = 0
        self._lost_held: list[frozenset[str]] = []  # the orders that each lost disk held
        self._lost_before: dict[str, int] = {}  # by order: disks that were lost before it was committed

    def disk_lost(self, durable: DurableState) -> None:
        """A disk that held something was lost."""
        self._lost_disks += 1
        self._lost_held.append(frozenset(taken.digest for taken in durable.state.applied))

    def sent(self, order: ConfigurationChange) -> None:
        """An order is on its way."""

    def check(self, machines: Mapping[str, Machine]) -> None:
        """One epoch names one view."""
        for machine in machines.values():
            if machine.replica is None or machine.replica.view is None:
                continue
            view = machine.replica.view
            known = self._views.setdefault(view.epoch, view)
            if known is not view and known != view:
                raise Broken(f"two views in epoch {view.epoch}: {known} and {view}")

    def committed(self, state: ChainState, machine: Machine, machines: Mapping[str, Machine]) -> None:
        """A replica holds a state for committed: when the first does, it is on enough disks."""
        if state.sequence and state.sequence not in self._history:
            self._lost_before[state.applied[-1].digest] = self._lost_disks
            self.first_committed(state, machines)
        self._stopped(machine, machines)
        known = self._history.setdefault(state.sequence, state.chain_digest)
        if known != state.chain_digest:
            raise Broken(f"two histories at sequence {state.sequence}")
        place = (machine.address, machine.life)
        if state.sequence < self._committed_at.get(place, 0):
            raise Broken(f"{place} went back to {state.sequence}")
        self._committed_at[place] = state.sequence
        for taken in state.applied:
            self._taken[taken.digest] = taken.version
            if taken.digest in self._refused:
                raise Broken(f"the refused order {taken.digest} is in force")

    def _stopped(self, machine: Machine, machines: Mapping[str, Machine]) -> None:
        """Nothing is committed in an epoch once its witness has accepted a later view."""
        replica = machine.replica
        if replica is None or replica.view is None:
            return
        epoch = replica.view.epoch
        for other in machines.values():
            accepted = None if other.durable is None else other.durable.accepted
            if accepted is None or not accepted.view.sealed_by:
                continue
            if epoch == accepted.view.epoch - 1 and replica.chain.epoch == epoch:
                raise Broken(f"epoch {epoch} committed after its witness had accepted the next")

    def first_committed(self, state: ChainState, machines: Mapping[str, Machine]) -> None:
        """What nobody held for committed before was put on more disks than may be lost; lost ones count.

        Seed 21547: its second copy was on its way to a frozen member as the disk with the first was lost.
        """
        digest = state.applied[-1].digest
        held = self.copies(machines, digest) + sum(digest in lost for lost in self._lost_held)
        if held <= self._tolerance:
            raise Broken(f"sequence {state.sequence} was committed with {held} copies")

    def replied(self, reply: Reply, machine: Machine) -> None:
        """An answer leaves a machine."""

    def answered(self, order: ConfigurationChange, status: int) -> None:
        """An operator got a clear answer to an order."""
        if status == 200:
            self._on_acked(order)
            return
        self._refused.add(order.digest)
        if order.digest in self._acked:
            raise Broken(f"the acknowledged order {order.digest} was refused with {status}")
        if order.digest in self._taken:
            raise Broken(f"the order {order.digest} was refused with {status} and is in force")

    def _on_acked(self, order: ConfigurationChange) -> None:
        version: int = order.body["version"]
        other = self._acked_bases.setdefault(order.base_version, order.digest)
        if other != order.digest:
            raise Broken(f"two orders on version {order.base_version} were acknowledged")
        self._acked[order.digest] = order
        self.newest_acked = max(self.newest_acked, version)

    def holders(self, machines: Mapping[str, Machine], order: ConfigurationChange) -> int:
        """On how many disks an order is."""
        return self.copies(machines, order.digest)

    def copies(self, machines: Mapping[str, Machine], digest: str) -> int:
        """On how many disks the order with a digest is."""
        disks = (machine.durable for machine in machines.values())
        return sum(disk is not None and any(t.digest == digest for t in disk.state.applied) for disk in disks)

    def durable(self, machines: Mapping[str, Machine], order: ConfigurationChange) -> None:
        """What was just acknowledged was on more disks than may be lost; those lost since commit count."""
        lost = self._lost_disks - self._lost_before.get(order.digest, self._lost_disks)
        held = self.holders(machines, order) + lost
        if held <= self._tolerance:
            raise Broken(f"order {order.digest} was acknowledged with {held} copies")

    def read(self, version: int, acked_before: int) -> None:
        """A read is no older than what was acknowledged before it began."""
        if version < acked_before:
            raise Broken(f"version {version} was read, {acked_before} had been acknowledged")
