"""Hosts the fleet's pure parts (`dunlinloft.fleet`) at a node, where its configuration has `fleet`."""
