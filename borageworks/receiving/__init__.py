"""Shares the event loop and the memory between the bytes that peers send."""
