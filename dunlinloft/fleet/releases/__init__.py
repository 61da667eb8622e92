"""Staged releases of servers: a new build that harms calls is found by a sequential test, and rolled back.

Pure state machines; `docs/releases.md` has the design. `controller` runs where the state table's leader is,
`follower` at every member; `dunlinloft.fleet.shared_state` carries orders and tallies between them.
"""
