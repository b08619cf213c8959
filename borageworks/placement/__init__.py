"""Decides which endpoint runs a request, who waits and who is refused."""
