"""Real-time host: `python -m dunlinloft.node` processes on loopback, with simulated servers and callers."""
