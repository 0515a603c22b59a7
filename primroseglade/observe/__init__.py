"""Observability of a process: numbered events, metrics, traces and decisions."""
