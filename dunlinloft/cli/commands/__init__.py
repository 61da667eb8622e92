"""Arguments and options of all commands, one module a command group.

A command's doc comment is the help that operators read. Each command imports its handler only when it runs.
Only `dunlinloft.cli.root` may import this package.
"""
