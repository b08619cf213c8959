"""Time bounds and limits that a soak's deployment guarantees to its callers."""

from __future__ import annotations

# Equal to the bounds in the emulated platform's settings file.
CONTACT_BOUND_S = 3.0
CONFIGURATION_APPLY_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
SHUTDOWN_GRACE_S = 8.0
# Platform defaults without a field in the gateway's settings.
ROLLBACK_TOLERANCE_S = 0.25
CLOSE_RACE_TOLERANCE_S = 0.2
CANCELLATION_TOLERANCE_S = 0.5
MAX_RECOVERY_S = 12.0
FAIRNESS_WINDOW_S = 6
MAX_ATTEMPTS = 2
EVACUATE_BOUND_S = 5.0
# Cold engines, as in the configuration that the operator of a soak writes.
COLD_S = 4.0
COLD_PER_S = 5.0
COLD_BOUND_PER_S = COLD_PER_S * 1.5 + 5
