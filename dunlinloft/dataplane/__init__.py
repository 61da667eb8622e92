"""The data plane: terminates clients' HTTP requests, forwards them to servers and relays the responses.

Imports `dunlinloft.balancer`, `dunlinloft.coordination`, `dunlinloft.fleet.rendezvous` and
`dunlinloft.transport`; nothing of the product imports this package.
"""
