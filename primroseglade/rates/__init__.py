"""Rates and bursts of workspaces, enforced over the whole fleet without consensus."""
