"""Leader leases for singleton roles, and the replicated state table.

A singleton role is work that at most one process may do at a time; `docs/duties.md` argues why there is never
a second. `manager.LeaseManager` is the state machine that hosts drive (`dunlinloft.node.fleet.duties`,
`lab.virtual.duties`); the other modules are its components.
"""
