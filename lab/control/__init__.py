"""The control plane's replicas on a simulated network and disks; invariants are checked after each event."""
