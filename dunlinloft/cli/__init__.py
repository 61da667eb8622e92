"""The command line: `python -m dunlinloft`, `./dunlin`, and the installed program `dunlinloft`.

Layers, each importing only those below it: `root` (the program) > `commands` (arguments and options, one
module per command group) > `handlers` (implementation and output) > `admin_client` > `admin_documents` >
`options`, `tables`, `consoles`, `progress` > `exit_codes`.

A command imports its handler only when it runs, so that starting the command line loads only click.

This is the top layer: it may import every other package, and only `dunlinloft.__main__` and tests may import
it.
"""

from dunlinloft.cli.root import main

__all__ = ["main"]
