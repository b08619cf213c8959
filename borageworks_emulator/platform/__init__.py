"""Emulated store and endpoints of the platform, and a test harness for its gateway."""
