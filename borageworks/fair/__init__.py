"""Fair queueing decisions: order, cost, windows and correction."""
