"""Emulates a fleet in simulated time, running the nodes' own code."""
