"""The stand-in world: servers, discovery, callers, links and processes that fail, and what came of it."""
