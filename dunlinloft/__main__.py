"""`python -m dunlinloft`."""

from dunlinloft.cli import main

main()
