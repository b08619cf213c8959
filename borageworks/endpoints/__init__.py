"""Adapters that send requests to model engines and plain services."""
