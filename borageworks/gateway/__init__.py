"""Forwards HTTP requests of organisations to endpoints, by host and path."""
