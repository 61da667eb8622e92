"""`python -m dunlinloft`: the command line."""

from dunlinloft.cli import main

main()
