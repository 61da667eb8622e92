"""The control plane's coordination, as pure state machines: events in, actions out.

Nothing here owns a socket, a file, a clock, a random source or a task; a host passes time and chance in and
performs the returned `actions`. `dunlinloft.controlplane` hosts it on sockets and disks, the simulation in
virtual time.

- Replicated state: `replica` composes the chain (`chain`), the Paxos round that decides the next view
  (`voting`, `acceptor`, `proposer`), failure detection and leases (`failure_detector`), the planning of views
  (`view_planning`, `view_reconciler`) and operators' calls (`calls`, `change_queue`, `tail_reads`,
  `epoch_confirmation`).
- Data: `views`, `state`, `history`, `document_changes`, `records` (on disk) and `messages` (on the wire).
- Members of the data plane: `server_registry` with `digests`, and `node_registry`.
- Singleton roles that are sharded over the chain: `quota` and `placement`.
- `stream` has the messages between control planes and data-plane nodes.

Imports nothing of the other packages; `dunlinloft.controlplane`, `dunlinloft.dataplane` and the simulation
import it.
"""
