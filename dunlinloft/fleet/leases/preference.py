"""The order in which members are preferred as leaders of a role, equal for all members with the same view."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from dunlinloft.fleet import rendezvous
from dunlinloft.fleet.leases.messages import MembershipObserved


class _Rank(NamedTuple):
    """The sort key of members, by descending importance."""

    roles_led: int
    zone_rotation: int
    rendezvous_hash: bytes


def preference_order(role: str, observed: MembershipObserved, role_index: int = 0) -> list[str]:
    """Return the members in the order in which they should propose for a role, the `role_index`-th of all.

    Members that lead the fewest other roles come first. Among these, the preferred zone rotates with the
    role, so that the loss of a zone affects few roles. Remaining ties are resolved by rendezvous hashing
    (Thaler and Ravishankar 1998).
    """
    roles_led = Counter(leader for other, (leader, _) in observed.claims.items() if other != role)
    zones = sorted({observed.zones.get(name, "") for name in observed.alive})

    def rank(name: str) -> _Rank:
        """Return the sort key of a member; the lowest is preferred."""
        rotation = (zones.index(observed.zones.get(name, "")) - role_index) % len(zones)
        return _Rank(roles_led[name], rotation, rendezvous.rank(role, name))

    return sorted(observed.alive, key=rank)
