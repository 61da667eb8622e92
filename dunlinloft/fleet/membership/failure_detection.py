"""Failure detection: derives the status of members from probes and received records.

A member whose probe fails is suspected. If the suspicion is not refuted before its time-out and a final probe
fails too, the member is declared dead (SWIM, section 4.2, with the changes in `docs/membership.md`).
"""

from __future__ import annotations

import random

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.local_member import Identity
from dunlinloft.fleet.membership.member import MAX_SUSPECTED_BY, Member
from dunlinloft.fleet.membership.name_ownership import NameOwnership
from dunlinloft.fleet.membership.probing import PROBE_PERIOD_MS, Prober
from dunlinloft.fleet.membership.suspicion_timeout import EXPECTED_CONFIRMERS, suspicion_timeout_ms
from dunlinloft.fleet.membership.timers import TimerKind
from dunlinloft.fleet.messages import DEAD, LEFT, STATUS_NAMES, SUSPECT, MetadataValue, Record

FINAL_PROBE_MS = 300.0  # the final probe starts this long before the suspicion's time-out
CONFIRM_DELAY = 0.2  # maximum random delay of a confirming probe, as a fraction of the probe period
SUSPICION_PER_HEALTH_POINT = 0.5  # relative increase of the time-out per point of the local health score


class FailureDetection(NameOwnership):
    """Merges records into the view, and suspects members, confirms suspicions and declares deaths."""

    def __init__(
        self, identity: Identity, rng: random.Random, metadata: dict[str, MetadataValue] | None
    ) -> None:
        super().__init__(identity, rng, metadata)
        self.prober = Prober(self)
        self.suspicions_raised = 0
        self.deaths_declared = 0

    # Records

    def _merge_record(self, record: Record, now: float) -> None:
        """Merge a received record of another member or of this process."""
        if not 0 <= record.status <= LEFT:
            return
        if record.name == self.name:
            return self._handle_own_record(record)
        record = self._death_as_suspicion(record, now)
        member, change = self.view.merge(record, now)
        if not change:
            if record.status in (SUSPECT, DEAD) and record.precedence() < member.precedence():
                self._outdated_claims[record.name] = None
            if member.status == SUSPECT and not member.suspicion_timer:
                self._start_suspicion(member, now)
            return
        has_new_metadata = change in (api.MemberChange.JOINED, api.MemberChange.METADATA)
        self._disseminate(record.name, include_metadata=has_new_metadata)
        self._record_changed(member, change, now)

    def _death_as_suspicion(self, record: Record, now: float) -> Record:
        """Convert a reported death of a member that is alive in this view into a suspicion.

        The member then has time to refute it. Otherwise each side of a healed partition would briefly declare
        members dead that only the other side could not reach.
        """
        member = self.view.get(record.name)
        if record.status != DEAD or member is None or not member.is_alive():
            return record
        if member.incarnation != record.incarnation:
            return record
        if record.revision < member.revision or record.suspected_by == [self.name]:
            return record
        minimum_ms = suspicion_timeout_ms(self.alive_count(), MAX_SUSPECTED_BY)
        if member.status == SUSPECT and now - member.status_since_ms >= minimum_ms:
            return record
        suspicion = member.to_record(include_metadata=False)
        suspicion.status = SUSPECT
        suspicion.revision = record.revision
        suspicion.suspected_by = suspicion.suspected_by or record.suspected_by or [record.name]
        return suspicion

    def _record_changed(self, member: Member, change: api.MemberChange, now: float) -> None:
        """React to a changed member: start a suspicion, notify the host, log, and drop expired records."""
        if member.status == SUSPECT:
            is_first = not member.suspicion_timer
            self._start_suspicion(member, now)
            if is_first and change is api.MemberChange.SUSPECT and self.name not in member.suspected_by:
                self._maybe_confirm(member)
        if change is api.MemberChange.SUSPECTED_BY_MORE:
            return
        self.actions.append(api.MemberChanged(member.name, change))
        if change is not api.MemberChange.METADATA:
            self._log(
                "member",
                name=member.name,
                status=STATUS_NAMES[member.status],
                life=member.incarnation,
                revision=member.revision,
                by=",".join(member.suspected_by),
            )
        if change in (api.MemberChange.DEAD, api.MemberChange.LEFT):
            self.view.expire(now)

    # Probes and suspicion

    def _probe_next(self, now: float) -> None:
        """Probe the next member of the round, and schedule the next period."""
        name = self.prober.next_target()
        if name is not None and not self.muted:
            self.prober.probe(name, now)
        self.set_timer(
            PROBE_PERIOD_MS * self.health.multiplier() * (0.9 + 0.2 * self.rng.random()),
            TimerKind.PROBE_PERIOD,
        )

    def _maybe_confirm(self, member: Member) -> None:
        """Probe a suspect, with the probability at which `EXPECTED_CONFIRMERS` members on average do."""
        if self.rng.random() * self.alive_count() < EXPECTED_CONFIRMERS:
            delay_ms = PROBE_PERIOD_MS * CONFIRM_DELAY * self.rng.random()
            self.set_timer(delay_ms, TimerKind.CONFIRM, member=member.name)

    def _confirm(self, name: str, now: float) -> None:
        if name in self.view.alive:
            self.prober.probe(name, now)

    def _handle_probe_timeout(self, number: int, in_time: bool, now: float) -> None:
        failed = self.prober.handle_probe_timeout(number, in_time, now)
        if failed is not None:
            self._probe_failed(failed.target, failed.is_final, now)

    def _probe_failed(self, name: str, is_final: bool, now: float) -> None:
        """Suspect a member whose probe got no ack, or declare it dead if it was the final probe."""
        member = self.view.get(name)
        if member is None or not member.is_alive() or self.muted:
            return
        if is_final:
            return self._declare_dead(member, now)
        if self.name in member.suspected_by:
            return
        self.suspicions_raised += 1
        record = member.to_record(include_metadata=False)
        record.status = SUSPECT
        record.suspected_by = [self.name]
        self._merge_record(record, now)

    def _handle_ack(self, number: int, name: str, incarnation: int, now: float, source: str) -> None:
        """Handle an ack, direct or forwarded; `source` is "" if it was received over a stream."""
        member = self.prober.handle_ack(number, name, incarnation, now, source)
        if member is not None and member.status == SUSPECT:
            # The member is alive; restart the suspicion so that it learns of it and has time to refute it.
            member.status_since_ms = now
            self._start_suspicion(member, now)

    def _start_suspicion(self, member: Member, now: float) -> None:
        """Set or reset the timer of a suspicion, based on the current number of suspecters."""
        timeout_ms = suspicion_timeout_ms(self.alive_count(), len(member.suspected_by))
        timeout_ms *= 1.0 + SUSPICION_PER_HEALTH_POINT * self.health.score
        elapsed_ms = now - member.status_since_ms
        delay_ms = max(0.0, timeout_ms - elapsed_ms - FINAL_PROBE_MS)
        member.suspicion_timer = self.set_timer(delay_ms, TimerKind.SUSPICION, member=member.name)
        member.final_probe = 0

    def _handle_suspicion_timeout(self, name: str, token: int, in_time: bool, now: float) -> None:
        """Start the final probe of a member whose suspicion was not refuted."""
        member = self.view.get(name)
        if member is None or member.status != SUSPECT or member.suspicion_timer != token:
            return
        if not in_time or not self.health.is_reliable(now):  # a delayed process declares no member dead
            member.status_since_ms = now
            return self._start_suspicion(member, now)
        # Probe once more, as a refutation may have been lost.
        member.final_probe = self.prober.probe(name, now, is_final=True)

    def _declare_dead(self, member: Member, now: float) -> None:
        if member.status == SUSPECT:
            self.deaths_declared += 1
            record = member.to_record(include_metadata=False)
            record.status = DEAD
            record.suspected_by = [self.name]
            self._merge_record(record, now)
