"""Benchmarks, not tests: only ratios within one run are comparable."""
