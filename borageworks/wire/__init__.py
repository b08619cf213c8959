"""Messages between instances: their types, codec and connections."""
