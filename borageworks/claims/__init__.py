"""At-most-once claims kept in journal shards of the platform store."""
