"""Emulated engines, services, platform store and load for demo and measure."""
