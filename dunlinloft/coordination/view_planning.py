"""Plans the view that should follow the one in force; the difference between the two is what gets proposed.

The roster (who votes) changes by exchange: a newcomer takes the position of a member that is leaving, that is
unreachable, or that was its own address's former disk. It grows and shrinks so that its size stays odd: an
even roster tolerates no more losses than the odd one below it, and stops at the second loss once one member
is unreachable. The chain (who holds the state) is the largest group of roster members that receive from one
another. Pure functions of an `Observation`; `view_reconciler` calls `desired_view`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from dunlinloft.coordination.failure_detector import FailureDetector
from dunlinloft.coordination.heartbeat_messages import Heartbeat
from dunlinloft.coordination.views import Member, View

REPLACE_AFTER_MS = 1_000.0  # unreachable for so long, a roster member gives its position to a newcomer
SHRINK_AFTER_MS = 3_000.0  # and where the roster is larger than it must be, leaves it without a newcomer


@dataclass(frozen=True, slots=True)
class Observation:
    """What one replica knows when it plans the next view."""

    view: View
    local_member: Member
    heartbeats: dict[str, Heartbeat]  # the last of each member by id, this replica's included
    failure_detector: FailureDetector
    tolerance: int  # how many replicas may be lost at once
    entered_ms: float  # when the view in force was learned
    now_ms: float

    @property
    def min_roster_size(self) -> int:
        """The smallest roster that tolerates the losses promised."""
        return 2 * self.tolerance + 1

    def is_leaving(self, member: Member) -> bool:
        """Whether a member announced that its process shuts down."""
        return member.id in self.heartbeats and self.heartbeats[member.id].leaving

    def is_healthy(self, member: Member) -> bool:
        """Whether a member's disk answers."""
        return member.id in self.heartbeats and self.heartbeats[member.id].healthy

    def unreachable_ms(self, member: Member) -> float:
        """How long a member has been reachable neither from here nor through a replica alive here."""
        if self.failure_detector.is_reachable(member.id, self.now_ms):
            return 0.0
        return self.failure_detector.ms_since_heartbeat(member.id, self.now_ms, self.entered_ms)

    def synced_ids(self) -> frozenset[str]:
        """The members that hold everything acknowledged: since before this view, or found equal in it."""
        prefix = {member.id for member in self.view.chain[: self.view.synced_prefix_length]}
        found = {member.id for member in self.view.chain if self._found_synced(member)}
        return frozenset(prefix | found)

    def may_seal_epoch(self) -> bool:
        """Whether this replica can ensure that the epoch commits nothing: it is behind in its chain.

        Of use only where detached members hold everything.
        """
        behind = (
            bool(self.view.position_of(self.local_member.id))
            and self.local_member.id not in self.synced_ids()
        )
        return behind and bool(self.view.detached)

    def _found_synced(self, member: Member) -> bool:
        return member.id in self.heartbeats and self.heartbeats[member.id].synced_epoch == self.view.epoch


def can_commit(chain: Sequence[Member], tolerance: int) -> bool:
    """Whether a chain is long enough to commit anything: a shorter one would only drop synced members."""
    return len(chain) > tolerance


def desired_view(observation: Observation) -> View | None:
    """The view that should follow; None where nothing is to change, or nothing can be done."""
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
    holding = view.detached if sealer_id else view.chain
    detached = tuple(m for m in holding if m in roster and m.id in synced and m not in chain)
    return View(view.epoch + 1, tuple(roster), tuple(chain), synced_prefix_length, detached, sealer_id)


# The roster.


def _desired_roster(observation: Observation) -> list[Member]:
    newcomers = _newcomers(observation)
    addresses = {member.address for member in newcomers}
    returned = {member.address for member in observation.view.roster} & addresses
    roster = [member for member in observation.view.roster if member.address not in returned]
    roster += [member for member in newcomers if member.address in returned]
    others = [member for member in newcomers if member.address not in returned]
    exchange = _exchange(observation, roster, others)
    growth = _growth(len(exchange.roster), len(exchange.remaining), observation.min_roster_size)
    return _shrunk(observation, [*exchange.roster, *exchange.remaining[:growth]])


def _newcomers(observation: Observation) -> list[Member]:
    """Members that may join the roster, by id."""
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
    """Members that are leaving, or were unreachable for so long; the longest unreachable first."""
    departing = [
        m for m in roster if observation.is_leaving(m) or observation.unreachable_ms(m) > unreachable_ms
    ]
    return sorted(departing, key=lambda m: (-observation.unreachable_ms(m), m.id))


@dataclass(frozen=True, slots=True)
class _Exchange:
    """A roster with newcomers in place of departing members, and the newcomers that remain."""

    roster: list[Member]
    remaining: list[Member]


def _exchange(observation: Observation, roster: list[Member], newcomers: list[Member]) -> _Exchange:
    departing = _departing(observation, roster, REPLACE_AFTER_MS)[: len(newcomers)]
    staying = [member for member in roster if member not in departing]
    return _Exchange(staying + newcomers[: len(departing)], newcomers[len(departing) :])


def _growth(size: int, newcomers: int, min_size: int) -> int:
    """How many newcomers join: all while the roster is too small, else so that its size is odd."""
    missing = min(newcomers, max(0, min_size - size))
    size += missing
    remaining = newcomers - missing
    return missing + (remaining if (size + remaining) % 2 else max(0, remaining - 1))


def _shrunk(observation: Observation, roster: list[Member]) -> list[Member]:
    """The roster without departing members, as long as enough remain and the size is odd."""
    departing = _departing(observation, roster, SHRINK_AFTER_MS)
    max_removed = min(len(departing), max(0, len(roster) - observation.min_roster_size))
    number = next((n for n in range(max_removed, 0, -1) if (len(roster) - n) % 2), 0)
    removed = departing[:number]
    return [member for member in roster if member not in removed]


# The chain.


def _desired_chain(observation: Observation, roster: list[Member], synced: frozenset[str]) -> list[Member]:
    """The chain: of members that stay and are healthy; of others only where too few synced ones remain."""
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
    """Members that are alive: the synced ones in their order, then those behind, then newcomers.

    A leaving member that the roster drops may stay in the chain until others hold what it holds.
    """
    members = [m for m in observation.view.chain if m in roster or observation.is_leaving(m)]
    members += [m for m in roster if m not in members]
    alive = [m for m in members if _is_alive(observation, m)]
    return [m for m in alive if m.id in synced] + [m for m in alive if m.id not in synced]


def _is_alive(observation: Observation, member: Member) -> bool:
    """Whether a member of the chain is alive, or another one has been for long enough to be let in."""
    in_chain = observation.view.position_of(member.id) is not None
    detector = observation.failure_detector
    test = detector.is_alive if in_chain else detector.is_stable
    return member.id in observation.heartbeats and test(member.id, observation.now_ms)


def _largest_connected(
    observation: Observation,
    members: list[Member],
    synced: frozenset[str],
    is_fit: Callable[[Member], bool],
) -> list[Member]:
    """The largest group found in which all receive from one another and the first is synced.

    A greedy search from each synced member, not an exact maximum clique. Of groups of one size the first
    found is taken, so that a chain is not exchanged for an equal one.
    """
    fit = [member for member in members if is_fit(member)]
    connections = {member.id: _connected_ids(observation, member, fit) for member in fit}
    best: list[Member] = []
    for start in fit:
        if start.id not in synced:
            continue
        group = _grown(start, fit, connections)
        if len(group) > len(best):
            best = [member for member in fit if member.id in group]
        if len(best) == len(fit):
            break
    return best


def _connected_ids(observation: Observation, member: Member, others: list[Member]) -> set[str]:
    """The ids of the members that receive from a member and from which it receives."""
    detector = observation.failure_detector
    return {o.id for o in others if detector.are_connected(member.id, o.id, observation.now_ms)}


def _grown(start: Member, fit: list[Member], connections: dict[str, set[str]]) -> set[str]:
    """The ids of a group in which all receive from one another, grown from one member, earlier ones first."""
    group = {start.id}
    allowed = connections[start.id]
    for member in fit:
        if member.id in allowed and member.id not in group:
            group.add(member.id)
            allowed = allowed & connections[member.id]
    return group
