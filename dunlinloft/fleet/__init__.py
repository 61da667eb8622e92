"""State machines of the fleet, without I/O, clocks or sockets: events in, actions out.

Shared by all: `interface`, `timers`, `messages`, `wire`, `rendezvous` and `member_count` (shares of budgets).
Any package but `dunlinloft.balancer` and `dunlinloft.transport` may import it; it imports no other package.
"""
