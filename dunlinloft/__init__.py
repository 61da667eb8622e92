"""A router fleet for a language model: its programs, its pure parts, and the command line.

Both programs share the modules beside the packages: `settings` (a process's own), `configuration` (the
operator's) and its `validation`, `quota_bounds`, `exceptions`. `[tool.importlinter]` in pyproject.toml says
which package may import which, and `./dunlin test` checks it.
"""
