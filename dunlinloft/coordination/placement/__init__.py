"""Placement: which server a request should go to, decided in one place for a whole service.

A node knows only what it sent itself; of a service whose requests come through many nodes that says little of
what a server has to process. So each service has one owner among the control planes, by rendezvous hashing
(`directory`), which is notified of each request before it is sent and when it completes. It only advises: a
node that gets no answer in time chooses by itself, and two owners at once do no harm.

The advice (`service`): the servers on which a request would wait for the fewest prompt tokens, by an estimate
of each server's load and prefix cache (`server_load`, `prefix_cache`, `cost`); among those about as good,
smooth weighted rotation by free capacity.

Costs are in prompt tokens to process, times in milliseconds of a steady clock.
"""
