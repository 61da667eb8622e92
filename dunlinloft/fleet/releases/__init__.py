"""Releases: a change that reaches the fleet in stages, is judged, and is taken back where it does harm."""
