"""Simulation of control-plane and data-plane processes on simulated hosts, disks and networks."""
