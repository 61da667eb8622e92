"""The host in virtual time: one heap of events, and the same run, bit for bit, for each seed."""
