"""Deterministic subsetting: which servers a replica uses, so that each server sees few replicas.

How many slices a replica takes, and when, is the caller's to decide (`server_set`).
"""

from __future__ import annotations

from random import Random


def subset_shares(
    shares: dict[int, float], replica_index: int, replicas: int, slices: int
) -> dict[int, float]:
    """What one of `replicas` uses of each member: one slice each of `slices` shuffles of all members.

    A slice is 1/replicas of the total, so that all replicas together use every member in proportion to its
    share. Each shuffle is the same at every replica that knows the same members.

    Parameters
    ----------
    shares
        Capacity of each member, by id.
    replica_index
        From 0; beyond `replicas` it wraps round, as the replica would get nothing otherwise.

    Returns
    -------
    dict
        The share of each member that is this replica's, in the order of `shares`; 0 for most members.
    """
    if slices >= replicas:
        return dict(shares)
    size = sum(shares.values()) / replicas
    replica_index %= replicas
    start = replica_index * size
    end = (replica_index + 1) * size
    taken = dict.fromkeys(shares, 0.0)
    for shuffle in range(slices):
        factor = Random(shuffle).getrandbits(32) | 1
        position = 0.0
        for _, member in sorted((member * factor % 2**32, member) for member in shares):
            taken[member] += max(0.0, min(position + shares[member], end) - max(position, start))
            position += shares[member]
    return taken
