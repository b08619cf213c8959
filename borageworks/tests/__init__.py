"""Tests that span several packages."""
