"""Bounds that the deployment of a soak promises to its callers."""

from __future__ import annotations

# The settings file of the platform's stand-in states the first four.
CONTACT_S = 3.0
CONFIGURATION_S = 2.0
DRAIN_S = 2.0
GRACE_S = 8.0
# The others are the platform's usual ones; no settings field of the gateway has them.
ROLLBACK_SLACK_S = 0.25
LOSS_SLACK_S = 0.2
LEAVE_SLACK_S = 0.5
RECOVERY_S = 12.0
FAIR_WINDOW_S = 6
MAX_ATTEMPTS = 2
