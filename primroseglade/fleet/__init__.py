"""Fleet membership, gossip and distribution of the configuration between nodes."""
