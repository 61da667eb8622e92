"""The data plane: terminates clients' HTTP requests, forwards them to servers and relays the responses.

Imports `dunlinloft.balancer`, `dunlinloft.coordination`, `dunlinloft.fleet.rendezvous` and
`dunlinloft.transport`; no other package of the product imports this one.
"""
