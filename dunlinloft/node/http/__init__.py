"""HTTP on the node's own sockets: connections of callers and to servers, bodies, handing over sockets."""
