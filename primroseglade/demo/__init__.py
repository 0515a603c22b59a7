"""A whole deployment in one process, with failures, checked from outside."""
