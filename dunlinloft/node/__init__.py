"""A load-balancing node on real sockets, which applies the decisions of `dunlinloft.balancer`."""

VERSION = "0.1.0"  # as in pyproject.toml
