"""Test lab: simulated servers, discovery, callers, links and failing processes, with checks and metrics.

Only `dunlinloft.cli` and tests may import this package; it may import all other packages.
"""
