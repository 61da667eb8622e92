"""Tenants' rate limits over all nodes: a distributed token bucket whose bound holds by construction.

Each tenant's quota has one owner among the control planes of the chain, found by rendezvous hashing
(`ownership`). In any window, whichever processes are partitioned, killed or newly elected, all nodes together
spend at most what the rule permits (`bounds`), because of the following
(`docs/control-state.md`, "Sums over all machines"):

- The owner grants from a token bucket that fills at the tenant's rate (`bucket`, `owner`), and only under
  its lease. A new owner waits until the previous lease has ended: either for so long that it must have, or
  until a majority shows that it has. It then starts with a low level, or with the level that the previous
  owner reports: a replica that learns that it lost ownership hands the remainder over and grants no more.
- Each node may hold a reserve (`reserves`), which only a draw from the owner's bucket refills. What is not
  drawn into reserves remains part of the bucket's capacity; a node whose fraction of the reserve pool is too
  small for a request draws nothing.
- A node that its owner does not answer spends its reserve and, after a delay, its standing share of the rate
  (`shares`). The owner's bucket fills by that much less for every node from which it receives nothing, so
  owner and disconnected nodes together never fill faster than the rate.

Amounts are in what the tenant's quota counts: requests or tokens. Times are in milliseconds of a steady
clock.
"""
