"""Coordination parts that others may embed. Pure: no sockets, clocks, files or random source of their own."""
