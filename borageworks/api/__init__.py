"""HTTP server for callers, the load balancer and the metrics scraper."""
