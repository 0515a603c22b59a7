"""Admission beside a backend server: importance, queue and concurrency limit."""
