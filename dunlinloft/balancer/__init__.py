"""The balancer's decisions for services that call services: retries, admission, selection, outlier ejection.

`balancer.Balancer` takes events and returns actions (`interface`). Pure: no I/O, no clock, no task. Imported
by the node in service (`dunlinloft.node`), by the router (`dunlinloft.dataplane`, `dunlinloft.coordination`,
for `rotation` and `delay_controller`) and by `lab`; imports nothing outside itself. `wirehost` is the
simulator's adapter.
"""
