"""The command line: its definition, and what the commands do."""
