"""Plans the view that should follow the current one; it is proposed if the two differ.

The roster (the voters) changes by replacement: a new member takes the place of one that is leaving or
unreachable, or that was the previous incarnation at its own address. The roster grows and shrinks in steps
that keep its size odd: an even roster tolerates no more losses than the next smaller odd one, and with one
member unreachable it loses its majority at the second loss. The chain (the members that hold the state) is
the largest group of roster members that all receive from one another.

All functions are pure functions of an `Observation`; `view_reconciler` calls `desired_view`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from dunlinloft.coordination.failure_detector import FailureDetector
from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.views import Member, View

REPLACE_AFTER_MS = 1_000.0  # unreachable, until a roster member is replaced by a new member
SHRINK_AFTER_MS = 3_000.0  # unreachable, until a member of a larger roster than needed is removed


@dataclass(frozen=True, slots=True)
class Observation:
    """The state of the cluster as observed by one replica when it plans the next view."""

    view: View
    local_member: Member
    heartbeats: dict[str, Heartbeat]  # by member id: its last heartbeat, including this replica's own
    failure_detector: FailureDetector
    tolerance: int  # how many replicas may be lost at once
    entered_ms: float  # when the current view was learned
    now_ms: float

    @property
    def min_roster_size(self) -> int:
        """The smallest roster that tolerates the configured number of losses."""
        return 2 * self.tolerance + 1

    def is_leaving(self, member: Member) -> bool:
        """Return whether a member announced its shutdown."""
        return member.id in self.heartbeats and self.heartbeats[member.id].leaving

    def is_healthy(self, member: Member) -> bool:
        """Return whether a member's disk completes writes in time."""
        return member.id in self.heartbeats and self.heartbeats[member.id].healthy

    def unreachable_ms(self, member: Member) -> float:
        """Return for how long a member was reachable neither from here nor through a live replica."""
        if self.failure_detector.is_reachable(member.id, self.now_ms):
            return 0.0
        return self.failure_detector.ms_since_heartbeat(member.id, self.now_ms, self.entered_ms)

    def synced_ids(self) -> frozenset[str]:
        """Return the members that hold everything acknowledged: the synced prefix, and those synced since."""
        prefix = {member.id for member in self.view.chain[: self.view.synced_prefix_length]}
        found = {member.id for member in self.view.chain if self._reports_synced(member)}
        return frozenset(prefix | found)

    def may_seal_epoch(self) -> bool:
        """Return whether this replica may try to seal the epoch: it is in the chain, and not synced.

        Sealing is useful only if there are detached members, which hold everything.
        """
        behind = (
            bool(self.view.position_of(self.local_member.id))
            and self.local_member.id not in self.synced_ids()
        )
        return behind and bool(self.view.detached)

    def _reports_synced(self, member: Member) -> bool:
        return member.id in self.heartbeats and self.heartbeats[member.id].synced_epoch == self.view.epoch


def can_commit(chain: Sequence[Member], tolerance: int) -> bool:
    """Return whether a chain is long enough to commit: a shorter one would only drop synced members."""
    return len(chain) > tolerance


def desired_view(observation: Observation) -> View | None:
    """Return the view that should follow; None if no change is needed or possible."""
    view = observation.view
    roster = _desired_roster(observation)
    synced = observation.synced_ids()
    chain = _desired_chain(observation, roster, synced)
    sealer_id = ""
    if not chain and observation.may_seal_epoch():
        synced = frozenset(member.id for member in view.detached)
        chain = _desired_chain(observation, roster, synced)
        sealer_id = observation.local_member.id
    if not can_commit(chain, observation.tolerance):
        return None
    synced_prefix_length = next((n for n, m in enumerate(chain) if m.id not in synced), len(chain))
    if synced_prefix_length == 0:
        return None
    if tuple(chain) == view.chain and set(roster) == set(view.roster):
        return None
    former_holders = view.detached if sealer_id else view.chain
    detached = tuple(m for m in former_holders if m in roster and m.id in synced and m not in chain)
    return View(view.epoch + 1, tuple(roster), tuple(chain), synced_prefix_length, detached, sealer_id)


# The roster.


def _desired_roster(observation: Observation) -> list[Member]:
    joining = _joining_members(observation)
    joining_addresses = {member.address for member in joining}
    rejoined_addresses = {member.address for member in observation.view.roster} & joining_addresses
    roster = [member for member in observation.view.roster if member.address not in rejoined_addresses]
    roster += [member for member in joining if member.address in rejoined_addresses]
    others = [member for member in joining if member.address not in rejoined_addresses]
    replacement = _replace_departing(observation, roster, others)
    join_count = _join_count(len(replacement.roster), len(replacement.remaining), observation.min_roster_size)
    return _without_departing(observation, [*replacement.roster, *replacement.remaining[:join_count]])


def _joining_members(observation: Observation) -> list[Member]:
    """Return the members that may join the roster, sorted by id."""
    voter_ids = observation.view.voter_ids()
    found = [
        heartbeat.sender
        for member_id, heartbeat in observation.heartbeats.items()
        if member_id not in voter_ids
        and heartbeat.quorum_eligible
        and heartbeat.healthy
        and not heartbeat.leaving
        and observation.failure_detector.is_stable(member_id, observation.now_ms)
    ]
    return sorted(found, key=lambda member: member.id)


def _departing(observation: Observation, roster: Sequence[Member], unreachable_ms: float) -> list[Member]:
    """Return the members that are leaving or unreachable for that time, the longest unreachable first."""
    departing = [
        m for m in roster if observation.is_leaving(m) or observation.unreachable_ms(m) > unreachable_ms
    ]
    return sorted(departing, key=lambda m: (-observation.unreachable_ms(m), m.id))


@dataclass(frozen=True, slots=True)
class _Replacement:
    """A roster in which joining members replace departing ones, and the joining members that remain."""

    roster: list[Member]
    remaining: list[Member]


def _replace_departing(observation: Observation, roster: list[Member], joining: list[Member]) -> _Replacement:
    departing = _departing(observation, roster, REPLACE_AFTER_MS)[: len(joining)]
    staying = [member for member in roster if member not in departing]
    return _Replacement(staying + joining[: len(departing)], joining[len(departing) :])


def _join_count(size: int, available: int, min_size: int) -> int:
    """Return how many members join: up to the minimum size, and beyond it only to an odd size."""
    missing = min(available, max(0, min_size - size))
    size += missing
    remaining = available - missing
    return missing + (remaining if (size + remaining) % 2 else max(0, remaining - 1))


def _without_departing(observation: Observation, roster: list[Member]) -> list[Member]:
    """Return the roster without departing members, keeping at least the minimum size and an odd size."""
    departing = _departing(observation, roster, SHRINK_AFTER_MS)
    max_removed = min(len(departing), max(0, len(roster) - observation.min_roster_size))
    removed_count = next((n for n in range(max_removed, 0, -1) if (len(roster) - n) % 2), 0)
    removed = departing[:removed_count]
    return [member for member in roster if member not in removed]


# The chain.


def _desired_chain(observation: Observation, roster: list[Member], synced: frozenset[str]) -> list[Member]:
    """Return the chain of healthy members that stay, or of others if too few of those are synced."""
    candidates = _candidates(observation, roster, synced)
    staying = _largest_connected(
        observation, candidates, synced, lambda m: observation.is_healthy(m) and not observation.is_leaving(m)
    )
    if _synced_count(staying, synced) > observation.tolerance:
        return staying
    with_leaving = _largest_connected(observation, candidates, synced, observation.is_healthy)
    best = max(staying, with_leaving, key=lambda chain: _synced_count(chain, synced))
    return best or _largest_connected(observation, candidates, synced, lambda _: True)


def _synced_count(chain: list[Member], synced: frozenset[str]) -> int:
    return sum(member.id in synced for member in chain)


def _candidates(observation: Observation, roster: list[Member], synced: frozenset[str]) -> list[Member]:
    """Return the live members: synced ones first, otherwise in chain order followed by roster order.

    A leaving member that is no longer in the roster may stay in the chain until others hold its state.
    """
    members = [m for m in observation.view.chain if m in roster or observation.is_leaving(m)]
    members += [m for m in roster if m not in members]
    alive = [m for m in members if _may_join_chain(observation, m)]
    return [m for m in alive if m.id in synced] + [m for m in alive if m.id not in synced]


def _may_join_chain(observation: Observation, member: Member) -> bool:
    """Return whether a member is alive and, if it is not in the chain yet, stable enough to join."""
    in_chain = observation.view.position_of(member.id) is not None
    detector = observation.failure_detector
    is_usable = detector.is_alive if in_chain else detector.is_stable
    return member.id in observation.heartbeats and is_usable(member.id, observation.now_ms)


def _largest_connected(
    observation: Observation,
    members: list[Member],
    synced: frozenset[str],
    is_eligible: Callable[[Member], bool],
) -> list[Member]:
    """Return the largest group found in which all receive from one another and the first is synced.

    This is a greedy search from each synced member, not an exact maximum clique. Among groups of equal size
    the first one wins, so that a chain is not replaced by an equivalent one.
    """
    eligible = [member for member in members if is_eligible(member)]
    connections = {member.id: _connected_ids(observation, member, eligible) for member in eligible}
    best: list[Member] = []
    for start in eligible:
        if start.id not in synced:
            continue
        group = _grow_group(start, eligible, connections)
        if len(group) > len(best):
            best = [member for member in eligible if member.id in group]
        if len(best) == len(eligible):
            break
    return best


def _connected_ids(observation: Observation, member: Member, others: list[Member]) -> set[str]:
    """Return the ids of the members with which a member has bidirectional connectivity."""
    detector = observation.failure_detector
    return {o.id for o in others if detector.are_connected(member.id, o.id, observation.now_ms)}


def _grow_group(start: Member, eligible: list[Member], connections: dict[str, set[str]]) -> set[str]:
    """Return the ids of a fully connected group, grown greedily from one member in list order."""
    group = {start.id}
    allowed = connections[start.id]
    for member in eligible:
        if member.id in allowed and member.id not in group:
            group.add(member.id)
            allowed = allowed & connections[member.id]
    return group
