"""Overload control for service call graphs, by a sidecar beside each server."""

__version__ = "0.1.0"
