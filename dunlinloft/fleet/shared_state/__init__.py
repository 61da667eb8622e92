"""State replicated among the processes of a fleet, each value with a bound on its staleness.

`core.SharedState` joins the parts; a host (`dunlinloft.node.fleet.shared`, the virtual host) gives it events
and carries out its actions. Why each bound holds: `docs/shared.md`.
"""
