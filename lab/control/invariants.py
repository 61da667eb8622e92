"""The invariants of the control plane's replicas, which must hold under every fault schedule."""

from __future__ import annotations

from collections.abc import Mapping

from dunlinloft.coordination.records import DurableState
from dunlinloft.coordination.state import ChainState, ConfigurationChange
from dunlinloft.coordination.views import View
from lab.control.machine import ObservedMachine


class InvariantViolation(AssertionError):
    """An invariant does not hold; the message says which and how."""


class InvariantChecker:
    """Checks each view, commit, result and read against everything observed before.

    `Cluster` reports commits and results and checks views after each event; operators report their reads.
    All checks raise `InvariantViolation`.
    """

    def __init__(self, tolerance: int) -> None:
        self._tolerance = tolerance
        self._views: dict[int, View] = {}
        self._history: dict[int, str] = {}  # chain digest of each committed sequence
        self.committed_sequences: dict[str, int] = {}  # by chain digest
        self._committed_versions: dict[str, int] = {}  # by digest of a committed change
        self._refused: set[str] = set()
        self._acked: dict[str, ConfigurationChange] = {}
        self._acked_bases: dict[int, str] = {}
        self.newest_acked = 0
        # The latest sequence committed, by (address, process generation); must never decrease.
        self._committed_at: dict[tuple[str, int], int] = {}
        self._lost_disks = 0
        self._changes_on_lost_disks: list[frozenset[str]] = []  # digests of the changes on each lost disk
        self._lost_before: dict[str, int] = {}  # disks lost before the commit, by digest

    def on_disk_lost(self, durable: DurableState) -> None:
        """Record the loss of a disk and the changes that were on it."""
        self._lost_disks += 1
        self._changes_on_lost_disks.append(frozenset(applied.digest for applied in durable.state.applied))

    def check_views(self, machines: Mapping[str, ObservedMachine]) -> None:
        """Check that an epoch identifies one view on all machines."""
        for machine in machines.values():
            if machine.replica is None or machine.replica.view is None:
                continue
            view = machine.replica.view
            known = self._views.setdefault(view.epoch, view)
            if known is not view and known != view:
                raise InvariantViolation(f"two views in epoch {view.epoch}: {known} and {view}")

    def on_commit(
        self, state: ChainState, machine: ObservedMachine, machines: Mapping[str, ObservedMachine]
    ) -> None:
        """Check a state that a replica considers committed.

        There is one history, a process never goes back, and no refused change is applied; the first commit
        of a sequence must also be on enough disks.
        """
        if state.sequence and state.sequence not in self._history:
            self._lost_before[state.applied[-1].digest] = self._lost_disks
            self.check_first_commit(state, machines)
        self._check_epoch_sealed(machine, machines)
        known = self._history.setdefault(state.sequence, state.chain_digest)
        self.committed_sequences[state.chain_digest] = state.sequence
        if known != state.chain_digest:
            raise InvariantViolation(f"two histories at sequence {state.sequence}")
        process = (machine.address, machine.generation)
        if state.sequence < self._committed_at.get(process, 0):
            raise InvariantViolation(f"{process} went back to {state.sequence}")
        self._committed_at[process] = state.sequence
        for applied in state.applied:
            self._committed_versions[applied.digest] = applied.version
            if applied.digest in self._refused:
                raise InvariantViolation(f"the refused change {applied.digest} is committed")

    def _check_epoch_sealed(self, machine: ObservedMachine, machines: Mapping[str, ObservedMachine]) -> None:
        """Check that no process commits in an epoch whose sealer has accepted the next view."""
        replica = machine.replica
        if replica is None or replica.view is None:
            return
        epoch = replica.view.epoch
        for other in machines.values():
            accepted = None if other.durable is None else other.durable.accepted
            if accepted is None or not accepted.view.sealed_by:
                continue
            if epoch == accepted.view.epoch - 1 and replica.chain.epoch == epoch:
                raise InvariantViolation(f"epoch {epoch} committed after its witness had accepted the next")

    def check_first_commit(self, state: ChainState, machines: Mapping[str, ObservedMachine]) -> None:
        """Check that a newly committed change is on more disks than may be lost; lost disks count.

        Seed 21547: the second copy was in flight to a frozen member when the disk with the first was lost.
        """
        digest = state.applied[-1].digest
        replica_count = self._disks_holding(machines, digest) + sum(
            digest in lost for lost in self._changes_on_lost_disks
        )
        if replica_count <= self._tolerance:
            raise InvariantViolation(f"sequence {state.sequence} was committed with {replica_count} copies")

    def on_result(self, change: ConfigurationChange, status: int) -> None:
        """Check a definite result (HTTP status) of an operator's change."""
        if status == 200:
            self._on_acked(change)
            return
        self._refused.add(change.digest)
        if change.digest in self._acked:
            raise InvariantViolation(f"the acknowledged change {change.digest} was refused with {status}")
        if change.digest in self._committed_versions:
            raise InvariantViolation(f"the change {change.digest} was refused with {status} and is committed")

    def _on_acked(self, change: ConfigurationChange) -> None:
        version: int = change.body["version"]
        other = self._acked_bases.setdefault(change.base_version, change.digest)
        if other != change.digest:
            raise InvariantViolation(f"two orders on version {change.base_version} were acknowledged")
        self._acked[change.digest] = change
        self.newest_acked = max(self.newest_acked, version)

    def replicas_holding(self, machines: Mapping[str, ObservedMachine], change: ConfigurationChange) -> int:
        """Return the number of disks that hold a change."""
        return self._disks_holding(machines, change.digest)

    def _disks_holding(self, machines: Mapping[str, ObservedMachine], digest: str) -> int:
        """Return the number of disks that hold the change with this digest."""
        disks = (machine.durable for machine in machines.values())
        return sum(disk is not None and any(t.digest == digest for t in disk.state.applied) for disk in disks)

    def check_acknowledged(
        self, machines: Mapping[str, ObservedMachine], change: ConfigurationChange
    ) -> None:
        """Check that a change just acknowledged is on more disks than may be lost.

        Disks lost since its commit count.
        """
        lost = self._lost_disks - self._lost_before.get(change.digest, self._lost_disks)
        replica_count = self.replicas_holding(machines, change) + lost
        if replica_count <= self._tolerance:
            raise InvariantViolation(f"change {change.digest} was acknowledged with {replica_count} copies")

    def check_read(self, version: int, acked_before: int) -> None:
        """Check that a read is no older than the newest version acknowledged before it began."""
        if version < acked_before:
            raise InvariantViolation(f"version {version} was read, {acked_before} had been acknowledged")
