"""The reconciliation loop that makes the desired view the current one."""

from __future__ import annotations

from dunlinloft.coordination.failure_detector import FailureDetector
from dunlinloft.coordination.heartbeat_exchange import HeartbeatExchange
from dunlinloft.coordination.view_planning import Observation, desired_view
from dunlinloft.coordination.views import Member, View, majority_of
from dunlinloft.coordination.voting import Voting

STARTUP_GRACE_MS = 800.0
"""Time after startup before this replica proposes views, so that replicas that start together are not
considered dead."""


class ViewReconciler:
    """Plans the desired view from this replica's observations, and has it proposed. Owned by `Replica`."""

    def __init__(
        self,
        local_member: Member,
        tolerance: int,
        voting: Voting,
        failure_detector: FailureDetector,
        heartbeats: HeartbeatExchange,
        now_ms: float,
    ) -> None:
        self._local_member = local_member
        self._tolerance = tolerance
        self._voting = voting
        self._failure_detector = failure_detector
        self._heartbeats = heartbeats
        self._started_ms = now_ms

    def on_tick(self, now_ms: float) -> None:
        """Compare the desired view with the current one, unless a proposal is in progress."""
        view = self._voting.view
        if not self._voting.may_propose(now_ms) or view is None:
            return
        if now_ms - self._started_ms < STARTUP_GRACE_MS:
            return
        alive = sum(self._failure_detector.is_alive(member.id, now_ms) for member in view.roster)
        has_majority = alive >= majority_of(view)
        desired = desired_view(self._observation(view, now_ms)) if has_majority else None
        if desired is None and has_majority:
            # Complete an abandoned proposal: until a view is decided, its acceptors confirm no epoch.
            desired = self._voting.undecided_view
        self._voting.reconcile(desired, self._rank(view, now_ms), now_ms)

    def _observation(self, view: View, now_ms: float) -> Observation:
        heartbeats = {member_id: peer.heartbeat for member_id, peer in self._failure_detector.peers.items()}
        heartbeats[self._local_member.id] = self._heartbeats.own_heartbeat(now_ms)
        return Observation(
            view=view,
            local_member=self._local_member,
            heartbeats=heartbeats,
            failure_detector=self._failure_detector,
            tolerance=self._tolerance,
            entered_ms=self._voting.entered_ms,
            now_ms=now_ms,
        )

    def _rank(self, view: View, now_ms: float) -> int:
        """Return how many reachable replicas propose first: the chain in order, then the other voters."""
        order = [*view.chain, *(member for member in view.roster if view.position_of(member.id) is None)]
        rank = 0
        for member in order:
            if member.id == self._local_member.id:
                break
            rank += self._failure_detector.is_reachable(member.id, now_ms)
        return rank
