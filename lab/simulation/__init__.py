"""Whole processes of the control side in virtual time: real programs on simulated machines and networks."""
