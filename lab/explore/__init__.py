"""Explores orders of events on the fleet's production cores within stated bounds and prints violations."""
