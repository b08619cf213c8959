"""Adapter between the project and the platform of its first users."""
