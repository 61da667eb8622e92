"""The command line: `python -m dunlinloft`, `./dunlin`, and the installed program `dunlinloft`.

Layers, each importing only those below it: `root` (the program) > `commands` (arguments and options, one
module a command group) > `handlers` (what a command does and prints) > `admin_client` > `admin_documents` >
`options`, `tables`, `consoles`, `progress` > `exit_codes`.

A command imports its handler when it runs, so that starting the command line costs
click alone.

Top of the import order: this package may import every other one, and nothing but `dunlinloft.__main__` and
tests may import it.
"""

from dunlinloft.cli.root import main

__all__ = ["main"]
