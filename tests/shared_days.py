"""A scenario in which four members share verdicts while one server fails and one node is killed."""

SHARED_DAY = """
name = "shared"
[day]
length_s = 16
[nodes]
count = 4
fleet = true
share = ["verdicts", "limits", "affinity"]
[[tiers]]
servers = 9
[[tenants]]
name = "spedition"
share = 1.0
quota_per_s = 30
[arrivals]
rate_per_s = 40
skew = 2
[callers]
repeats = true
[[faults]]
kind = "server"
at_s = 4
for_s = 10
servers = ["a1"]
errors = 1.0
[[faults]]
kind = "kill"
at_s = 6
nodes = ["n2"]
back_s = 2
"""
