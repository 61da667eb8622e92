"""Staged releases of servers: a sequential test detects a new build that harms calls, which is rolled back.

The modules are pure state machines; `docs/releases.md` describes the design. `controller` runs at the state
table's leader, `follower` at every member; `dunlinloft.fleet.shared_state` transports orders and tallies
between them.
"""
