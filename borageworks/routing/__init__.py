"""Request decisions: endpoint choice, retries, limits and crash suspects."""
