"""The control plane: the operator's API, the servers' heartbeats, the configuration and its distribution."""
