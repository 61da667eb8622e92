"""Cells: membership of a bounded size, and a directory that knows cells by their summaries.

Pure state machines, without sockets or clocks. `dunlinloft.node.fleet.cells` hosts a member,
`dunlinloft.node.fleet.directory` a process of the directory; `docs/cells.md` gives the design and why.
"""
