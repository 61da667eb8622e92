"""Cells: membership of a bounded size, and a directory that knows them by summary; see `docs/cells.md`."""
