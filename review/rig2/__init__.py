"""Rig of the second review: the project's programs on loopback, with small stand-ins around them."""
