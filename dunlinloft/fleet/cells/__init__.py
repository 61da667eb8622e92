"""Cells: membership groups of bounded size, and a directory that stores summaries of them.

The modules are pure state machines without sockets or clocks. `dunlinloft.node.fleet.cells` hosts a member,
`dunlinloft.node.fleet.directory` a directory process; `docs/cells.md` describes the design and its reasons.
"""
