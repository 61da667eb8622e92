"""The stand-in world: servers, discovery, callers, links and processes that fail, and what came of it.

Only `dunlinloft.cli` and tests may import it; it may import all else.
"""
