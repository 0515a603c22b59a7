"""Overload control around a backend server: importance, queue, limit and throttle."""
