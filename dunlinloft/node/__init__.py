"""dunlinloft.node: a load-balancing node on real sockets, round the decisions of `dunlinloft.balancer`."""

VERSION = "0.1.0"  # of the program, as in pyproject.toml
