"""At-most-once execution: tracks which operations have run."""
