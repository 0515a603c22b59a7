"""Randomized soak test: real processes, injected faults, checked guarantees."""
