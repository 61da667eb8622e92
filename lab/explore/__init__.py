"""Tries all orders of events on the fleet's own cores, within stated bounds, and prints what breaks them."""
