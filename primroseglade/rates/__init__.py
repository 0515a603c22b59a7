"""Rates and bursts of workspaces, kept over the whole fleet without agreement."""
