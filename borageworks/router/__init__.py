"""Router instances: entry side, owner side and the components between them."""
