"""The node beside a backend server: calls between nodes and the state nodes share."""
