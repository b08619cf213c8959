"""Settings of one instance: models, loading and the published schema."""
