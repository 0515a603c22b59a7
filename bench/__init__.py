"""Benchmarks, which are no tests: only ratios within one run are comparable."""
