"""At-most-once claims, stored in sharded journals in the platform store."""
