"""Statuses that a response may have."""

from __future__ import annotations

# HTTP defines five classes of statuses, of which 1xx only announce a response. The
# parser of the HTTP library takes any three digits.
FINAL_STATUSES = range(200, 600)
