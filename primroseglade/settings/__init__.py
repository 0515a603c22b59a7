"""Settings of a node, and the reader of JSON with comments that checks them."""
