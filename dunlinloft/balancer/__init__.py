"""Client-side load balancing between services: retries, admission, server selection, outlier ejection.

`balancer.Balancer` takes events and returns actions, both defined in `interface`. It is pure: it does no I/O,
reads no clock and starts no task. The package imports nothing outside itself. It is used by the node
(`dunlinloft.node`), by the router (`dunlinloft.dataplane` and `dunlinloft.coordination`, for `rotation`,
`delay_controller` and `averages`) and by `lab`. `wirehost` is the simulator's adapter.
"""
