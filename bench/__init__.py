"""Benchmarks: never tests, always ratios within one run."""
