"""The command line over the node and its lab."""
