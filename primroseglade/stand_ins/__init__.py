"""In-process stand-ins for external systems, for tests, benchmarks and the demo."""
