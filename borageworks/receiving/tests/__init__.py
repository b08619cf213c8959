"""Tests of the receiving side of connections."""
