"""Runs a deployment in one process, injects failures and checks its guarantees."""
