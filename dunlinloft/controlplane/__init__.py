"""The control plane: the operator's API, the servers' heartbeats, and the configuration and its distribution.

`process` is the program; `components` builds what it consists of and shows who uses whom. The decisions are
in `dunlinloft.coordination`, which does no input or output; the modules here host them on sockets, a disk and
the clock. Imported by nothing but its own `__main__` and `dunlinloft state`, which reads data directories.
"""
