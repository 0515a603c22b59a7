"""Routes calls from callers to backend servers, and the responses back."""
