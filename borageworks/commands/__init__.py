"""Implementations of the command-line subcommands."""
