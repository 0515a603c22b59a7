"""The path of a call: in from a caller, to a backend server, and back."""
