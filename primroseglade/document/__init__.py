"""The operators' configuration document, built from the records of a log."""
