"""The host with real `python -m orchidferry` processes on 127.0.0.0/8, among stand-ins in this process."""
