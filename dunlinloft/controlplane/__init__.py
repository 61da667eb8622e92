"""The control plane: operator API, server heartbeats, and configuration storage and distribution.

`process` is the entry point; `components` builds the object graph. The protocol logic is in
`dunlinloft.coordination`, which does no I/O; the modules here connect it to sockets, the disk and the clock.
Only its own `__main__` and `dunlinloft state`, which reads data directories, import this package.
"""
