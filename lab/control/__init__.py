"""Simulation of the control plane's replicas on a network and disks, with invariant checks on each event."""
