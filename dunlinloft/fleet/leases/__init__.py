"""Leader leases for singleton roles, and the replicated state table.

A singleton role is work that at most one process may do at a time; `docs/duties.md` explains why two
processes never hold a role at once. `manager.LeaseManager` is the state machine that hosts drive
(`dunlinloft.node.fleet.singleton_roles`, `lab.virtual.duties`); the other modules are its components.
"""
