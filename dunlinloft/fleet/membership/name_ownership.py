"""Records about the local process's own name: refutes wrong claims and resolves name conflicts.

If a record shows another process with the same name and a newer incarnation, it may be a previous process
whose clock was ahead, so this process starts a still newer incarnation. If another record exceeds that too,
the other process is alive. Then the process with the higher uid, which started later, is muted, and the other
keeps the name; both log the conflict. The muted process resumes the name once it is free.
"""

from __future__ import annotations

import random

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.local_member import Identity
from dunlinloft.fleet.membership.member import digest_bits
from dunlinloft.fleet.membership.rejoin import Rejoin
from dunlinloft.fleet.membership.timers import TimerKind
from dunlinloft.fleet.messages import DEAD, LEFT, SUSPECT, MetadataValue, Record, State

NAME_CHECK_INTERVAL_MS = 30_000.0  # how often a muted process checks whether its name is free
INCARNATION_STEP = 1  # added to the incarnation to be superseded
# Event names in the operational log, which operators' tools match.
NAME_CONFLICT_EVENT = "rival"
NAME_CONFLICT_OVER_EVENT = "rival gone"


class NameOwnership(Rejoin):
    """Refutes claims, starts a new incarnation, or gives up the name."""

    def __init__(
        self, identity: Identity, rng: random.Random, metadata: dict[str, MetadataValue] | None
    ) -> None:
        super().__init__(identity, rng, metadata)
        # Names about which the sender of the current message has outdated records; a dict keeps their order.
        self._outdated_claims: dict[str, None] = {}
        self._conflicting_uid = 0  # uid of the process whose record led to a new incarnation
        self.conflicting_address = ""  # address of the other process, once it is known to be alive
        self.refutations = 0
        self.name_conflicts = 0

    def _handle_own_record(self, record: Record) -> None:
        """Handle a record of the own name: refute a wrong claim, or detect another owner of the name."""
        if record.uid != self._uid and record.uid:
            return self._handle_conflicting_record(record)
        if record.incarnation != self.incarnation:
            return  # a former incarnation of this process
        claims_failure = record.status in (SUSPECT, DEAD)
        if claims_failure and record.revision < self.revision:
            self._outdated_claims[self.name] = None
        if record.status == LEFT or (claims_failure and record.revision >= self.revision):
            self.refutations += 1
            if record.status == LEFT:
                return self._start_incarnation(self.incarnation)
            self.revision = record.revision + 1
            if record.status == SUSPECT:
                self.health.degrade()
            # A member that declared this process dead has also dropped its metadata.
            self._disseminate(self.name, include_metadata=record.status == DEAD)

    def _handle_conflicting_record(self, record: Record) -> None:
        """Handle a record of another process that has, or had, the same name."""
        if record.incarnation < self.incarnation:
            if record.status != LEFT:  # an update of a former incarnation circulates; ours is newer
                self._disseminate(self.name)
            return
        if record.status in (DEAD, LEFT):
            if self.muted:
                return self._unmute(record)
            return self._start_incarnation(record.incarnation)
        if self.muted:
            return
        if self._conflicting_uid != record.uid:
            # A former incarnation whose clock was ahead, or another process, which will respond if alive.
            self._conflicting_uid = record.uid
            return self._start_incarnation(record.incarnation)
        self.name_conflicts += 1
        self.conflicting_address = record.address
        if record.uid < self._uid:
            self._mute_for(record)
        else:
            self._log(NAME_CONFLICT_EVENT, name=self.name, address=record.address, yields=False)
            self._start_incarnation(record.incarnation)

    def _start_incarnation(self, superseded: int) -> None:
        """Continue as an incarnation newer than `superseded`."""
        self.incarnation = superseded + INCARNATION_STEP
        self.revision = 0
        self._digest_bits = digest_bits(self.name, self.incarnation)
        self._disseminate(self.name)

    def _mute_for(self, record: Record) -> None:
        """Give up the name to an older process: send nothing, and check later whether the name is free."""
        self.muted = True
        self._log(NAME_CONFLICT_EVENT, name=self.name, address=record.address, yields=True)
        self.set_timer(NAME_CHECK_INTERVAL_MS, TimerKind.NAME_CHECK)

    def _check_name_free(self) -> None:
        """Pull the state of a member, or of a seed, to check whether the name is still in use."""
        if self.muted:
            addresses = [self.view.members[name].address for name in self.view.alive.sample(1)] or self._seeds
            if addresses:
                self.actions.append(api.PushPull(self.rng.choice(addresses), State(self.header(), [])))
            self.set_timer(NAME_CHECK_INTERVAL_MS, TimerKind.NAME_CHECK)

    def _unmute(self, record: Record | None) -> None:
        """Resume the name; `record` is that of the dead or left process, None if the name is unknown."""
        self.muted = False
        self._conflicting_uid = 0
        self.conflicting_address = ""
        self._log(NAME_CONFLICT_OVER_EVENT, name=self.name)
        self._start_incarnation(record.incarnation if record is not None else self.incarnation)
