"""Targets of docs/design.md, section 1, that scenarios are checked against."""

from __future__ import annotations

GAP_RATIO = 1.5
GAP_MEDIAN_RATIO = 1.2
UTILISATION_RATIO = 0.98
WAIT_RATIO = 1.5
CONTROL_BYTES_PER_S = 11_000.0
CONTROL_CPU_PERCENT = 3.5
MEMORY_MB = 256.0
REQUESTS_PER_S_PER_ROUTER = 26.0
MAX_ENDPOINT_LEAVE_S = 3.0
MAX_TICKET_EFFECT_S = 4.0
MAX_CRASHED_ENDPOINTS = 3
# Store budget of one idle instance: a tenth of 2,000 reads/s and 300 writes/s for a
# fleet of 800 instances.
STORE_CALLS_PER_ROUTER = 0.1 * (2_000 + 300) / 800
