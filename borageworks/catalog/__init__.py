"""Fleet configuration: objects, tickets and the replica each instance holds."""
