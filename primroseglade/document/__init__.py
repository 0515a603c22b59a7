"""The operators' document: sections, edits, and the fold of the log into it."""
