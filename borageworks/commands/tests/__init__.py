"""Tests of the command-line subcommands."""
