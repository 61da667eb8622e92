"""A router fleet for language-model servers: programs, I/O-free state machines, and the command line.

Both programs share the top-level modules: `settings` (of one process), `configuration` (set by operators) and
its `validation`, `quota_bounds`, `exceptions`. `[tool.importlinter]` in pyproject.toml defines which package
may import which, and `./dunlin test` checks it.
"""
