"""Claims about this process's own name: wrong ones are refuted, and conflicts over the name resolved.

Two processes under one name, on two machines: the first newer incarnation may be a restart with a wrong
clock, so it is answered by a newer one. If that is answered too, the other process is alive. The one that
started later, by its uid, is muted; the other stays; both log it. The muted one takes the name back once
it is free.
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
INCARNATION_STEP = 1  # beyond the incarnation that is to be superseded
# Events of the operators' log, under the names that their tools know.
NAME_CONFLICT_EVENT = "rival"
NAME_CONFLICT_OVER_EVENT = "rival gone"


class NameOwnership(Rejoin):
    """Refutes, takes a new incarnation, or yields the name."""

    def __init__(
        self, identity: Identity, rng: random.Random, metadata: dict[str, MetadataValue] | None
    ) -> None:
        super().__init__(identity, rng, metadata)
        # Names about which the sender of the message at hand claims what is outdated; a dict for its order.
        self._outdated_claims: dict[str, None] = {}
        self._conflicting_uid = 0  # the process that had our name when we took a new incarnation for it
        self.conflicting_address = ""  # its address, once it is certain that it is alive
        self.refutations = 0
        self.name_conflicts = 0

    def _handle_own_record(self, record: Record) -> None:
        """Handle a record of our name: refute what is wrong, and see whether the name is another's."""
        if record.uid != self._uid and record.uid:
            return self._handle_conflicting_record(record)
        if record.incarnation != self.incarnation:
            return  # what we were before we took a new incarnation
        accused = record.status in (SUSPECT, DEAD)
        if accused and record.revision < self.revision:
            self._outdated_claims[self.name] = None
        if record.status == LEFT or (accused and record.revision >= self.revision):
            self.refutations += 1
            if record.status == LEFT:
                return self._start_incarnation(self.incarnation)
            self.revision = record.revision + 1
            if record.status == SUSPECT:
                self.health.degrade()
            # Whoever has declared us dead has dropped our metadata too.
            self._disseminate(self.name, include_metadata=record.status == DEAD)

    def _handle_conflicting_record(self, record: Record) -> None:
        """Another process has, or had, our name."""
        if record.incarnation < self.incarnation:
            if record.status != LEFT:  # an update of a former incarnation is about: ours is newer
                self._disseminate(self.name)
            return
        if record.status in (DEAD, LEFT):
            if self.muted:
                return self._unmute(record)
            return self._start_incarnation(record.incarnation)
        if self.muted:
            return
        if self._conflicting_uid != record.uid:
            # A former incarnation whose clock was ahead, or another process: one that is alive will answer.
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
        """Go on under an incarnation that is newer than this one."""
        self.incarnation = superseded + INCARNATION_STEP
        self.revision = 0
        self._digest_bits = digest_bits(self.name, self.incarnation)
        self._disseminate(self.name)

    def _mute_for(self, record: Record) -> None:
        """Yield the name to an older process: send nothing under it, and check later whether it is free."""
        self.muted = True
        self._log(NAME_CONFLICT_EVENT, name=self.name, address=record.address, yields=True)
        self.set_timer(NAME_CHECK_INTERVAL_MS, TimerKind.NAME_CHECK)

    def _check_name_free(self) -> None:
        """Pull the state of a member, or of a seed, to see whether our name is still in it."""
        if self.muted:
            addresses = [self.view.members[name].address for name in self.view.alive.sample(1)] or self._seeds
            if addresses:
                self.actions.append(api.PushPull(self.rng.choice(addresses), State(self.header(), [])))
            self.set_timer(NAME_CHECK_INTERVAL_MS, TimerKind.NAME_CHECK)

    def _unmute(self, record: Record | None) -> None:
        """Take the name back; `record` is the dead or left process's, None if nobody knows the name."""
        self.muted = False
        self._conflicting_uid = 0
        self.conflicting_address = ""
        self._log(NAME_CONFLICT_OVER_EVENT, name=self.name)
        self._start_incarnation(record.incarnation if record is not None else self.incarnation)
