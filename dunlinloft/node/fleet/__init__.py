"""Hosts the I/O-free cores of `dunlinloft.fleet` in a node whose configuration has `fleet`."""
