"""Duties: work that one process at most may do at a time; `docs/duties.md` has the argument for safety."""
