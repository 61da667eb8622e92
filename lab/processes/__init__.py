"""The host with real `python -m dunlinloft.node` processes on loopback, among stand-ins in this process."""
