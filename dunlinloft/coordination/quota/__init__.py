"""Cluster-wide rate limits for tenants: a distributed token bucket with a hard upper bound on usage.

Rendezvous hashing assigns each tenant's quota to one owner among the control planes of the chain
(`ownership`). In any time window, and under any combination of partitions, crashes and elections, all nodes
together spend at most the amount defined in `bounds`. Three mechanisms enforce this limit
(`docs/control-state.md`, "Sums over all machines"):

- The owner grants from a token bucket that refills at the tenant's rate (`bucket`, `owner`), and only while
  it holds its lease. A new owner waits until the previous owner's lease has expired: either for the maximum
  lease duration, or until a majority confirms the expiry. It then starts with a low level, or with the level
  that the previous owner handed over: a replica that learns that it lost ownership hands over the remaining
  tokens and stops granting.
- Each node may hold a local reserve (`reserves`), which is refilled only by draws from the owner's bucket.
  Whatever is not drawn into reserves stays available as bucket capacity. A node whose fraction of the reserve
  pool is too small for a typical request draws nothing.
- A node that gets no reply from the owner spends its reserve and, after a delay, its standing share of the
  rate (`shares`). The owner reduces its own refill rate by the share of every node that it cannot hear, so
  the owner and the disconnected nodes together never refill faster than the rate.

Amounts are in the unit of the tenant's quota: requests or tokens. Times are in milliseconds of a monotonic
clock.
"""
