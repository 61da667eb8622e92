"""Runs the command line: `python -m dunlinloft`."""

from dunlinloft.cli import main

main()
