"""Overload control for service call graphs, one small process a backend server."""

__version__ = "0.1.0"
