"""State that processes share, each value with a bound on its staleness: `docs/shared.md`."""
