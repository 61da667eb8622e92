"""State machines of the fleet: they turn events into actions and use no I/O, clocks or sockets.

The modules `interface`, `timers`, `messages`, `wire`, `rendezvous` and `member_count` (shares of budgets) are
common to all of them. Any package except `dunlinloft.balancer` and `dunlinloft.transport` may import this
one; it imports no other package.
"""
