"""State replicated among the processes of a fleet, each value with an upper bound on its staleness.

`core.SharedState` combines the components. A host (`dunlinloft.node.fleet.shared` or the virtual host) passes
events to it and executes its actions. `docs/shared.md` explains why each bound holds.
"""
