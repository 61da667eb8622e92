"""A router fleet of real processes on loopback addresses, with stand-ins for model servers."""
