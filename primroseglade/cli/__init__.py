"""The command line: definition and implementation of its commands."""
