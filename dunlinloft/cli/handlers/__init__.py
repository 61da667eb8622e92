"""Implementation and output of the commands; each handler returns the command's exit status.

Only `dunlinloft.cli.commands` and tests may import this package; handlers may import the lab and the product.
"""
