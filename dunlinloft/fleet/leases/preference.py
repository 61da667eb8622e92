"""Which members should lead a role, in order of preference; the same at all that see the same members."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from dunlinloft.fleet import rendezvous
from dunlinloft.fleet.leases.messages import MembershipObserved


class _Rank(NamedTuple):
    """What members are ordered by, the most important first."""

    roles_led: int
    zone_rotation: int
    rendezvous_hash: bytes


def preference_order(role: str, observed: MembershipObserved, role_index: int = 0) -> list[str]:
    """Members in the order in which they should stand for a role, the `role_index`-th of all.

    Those that lead the fewest other roles come first. Among these the zones rotate with the roles, so that
    the loss of a zone takes few of them; then by rendezvous hashing (Thaler and Ravishankar 1998).
    """
    roles_led = Counter(leader for other, (leader, _) in observed.claims.items() if other != role)
    zones = sorted({observed.zones.get(name, "") for name in observed.alive})

    def rank(name: str) -> _Rank:
        """Lower ranks stand first."""
        rotation = (zones.index(observed.zones.get(name, "")) - role_index) % len(zones)
        return _Rank(roles_led[name], rotation, rendezvous.rank(role, name))

    return sorted(observed.alive, key=rank)
