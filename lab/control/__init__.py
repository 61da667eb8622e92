"""The control plane's replicas on a simulated network and disks, with the rules checked after each step."""
