"""Settings and documents: JSON with comments, checked on load."""
