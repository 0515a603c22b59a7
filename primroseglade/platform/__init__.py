"""Adapter to the platform: its HTTP interfaces, settings and store."""
