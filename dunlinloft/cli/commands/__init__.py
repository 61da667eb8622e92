"""Arguments and options of all commands, one module per command group.

A command's docstring is its help text. Each command imports its handler only when it runs. Only
`dunlinloft.cli.root` may import this package.
"""
