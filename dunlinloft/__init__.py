"""A router fleet for a language model: its programs, its pure parts, and the command line."""
