"""Deterministic subsetting: selects the servers that a replica uses, so that each server serves few replicas.

The caller (`server_set`) decides how many slices a replica uses.
"""

from __future__ import annotations

from random import Random


def subset_shares(
    shares: dict[int, float], replica_index: int, replicas: int, slices: int
) -> dict[int, float]:
    """Return the part of each member that one of the replicas uses: a slice of each of `slices` shuffles.

    A slice is 1/replicas of the total capacity, so that all replicas together use each member in proportion
    to its share. Each shuffle is the same at all replicas that know the same members.

    Parameters
    ----------
    shares
        Capacity of each member, by id.
    replica_index
        Index from 0; from `replicas` on it wraps around, as the replica would get no member otherwise.

    Returns
    -------
    dict
        The capacity of each member that this replica uses, in the order of `shares`; 0 for most members.
    """
    if slices >= replicas:
        return dict(shares)
    size = sum(shares.values()) / replicas
    replica_index %= replicas
    start = replica_index * size
    end = (replica_index + 1) * size
    used_shares = dict.fromkeys(shares, 0.0)
    for shuffle in range(slices):
        factor = Random(shuffle).getrandbits(32) | 1
        position = 0.0
        for _, member in sorted((member * factor % 2**32, member) for member in shares):
            used_shares[member] += max(0.0, min(position + shares[member], end) - max(position, start))
            position += shares[member]
    return used_shares
