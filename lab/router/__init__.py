"""Test harness that runs a router fleet as real processes on loopback addresses, with fake model servers."""
