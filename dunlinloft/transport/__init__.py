"""Infrastructure that both programs share: message streams, the clock, program startup and background tasks.

`dunlinloft.controlplane` and `dunlinloft.dataplane` import this package; it imports neither of them.
"""
