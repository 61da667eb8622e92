"""Input and output that both programs share: message streams, the clock, program start and task ownership.

`dunlinloft.controlplane` and `dunlinloft.dataplane` import it; it imports nothing from either.
"""
