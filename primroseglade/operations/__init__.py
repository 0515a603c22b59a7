"""At most once: which operations have run, as far as anyone remembers."""
