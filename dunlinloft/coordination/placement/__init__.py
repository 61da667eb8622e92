"""Placement: chooses the server for each request of a service in one central place.

A node knows only the requests that it sent itself. If a service's requests arrive through many nodes, that
says little about a server's actual load. Therefore rendezvous hashing assigns each service to one owner among
the control planes (`directory`), which is notified of each request before it is sent and when it completes.
The owner only advises: a node that gets no reply in time chooses a server itself, and two owners at the same
time do no harm.

The owner (`service`) prefers the servers on which a request would wait for the fewest prompt tokens,
estimated from each server's load and prefix cache (`server_load`, `prefix_cache`, `cost`). Among servers of
about the same cost it uses a smooth weighted round robin by free capacity.

Costs are in prompt tokens to process, times in milliseconds of a monotonic clock.
"""
