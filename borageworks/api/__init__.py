"""HTTP interface for callers, the balancer and the metrics scraper."""
