"""Decides about the fleet: who is in it. Pure: events in, actions out; no I/O, no clock, no sockets."""
