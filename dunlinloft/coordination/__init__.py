"""Control-plane coordination as pure state machines: events in, actions out.

This package owns no sockets, files, clocks, random sources or tasks. The host passes in the time and a random
generator and performs the returned `actions`. `dunlinloft.controlplane` hosts it on sockets and disks, the
simulation in virtual time.

- Replicated state: `replica` composes chain replication (`chain`), the Paxos rounds that decide the next view
  (`voting`, `acceptor`, `proposer`), failure detection and leases (`failure_detector`), view planning
  (`view_planning`, `view_reconciler`) and operator calls (`calls`, `change_queue`, `tail_reads`,
  `epoch_confirmation`).
- Data: `views`, `state`, `history`, `document_changes`, `records` (on disk) and `messages` (on the wire).
- Data-plane membership: `server_registry` with `digests`, and `node_registry`.
- Singleton roles, sharded over the chain: `quota` and `placement`.
- `stream`: messages between control planes and data-plane nodes.

The package imports none of the other packages; `dunlinloft.controlplane`, `dunlinloft.dataplane` and the
simulation import it.
"""
