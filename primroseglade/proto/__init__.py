"""Messages between nodes, generated from ``control.proto`` by ``make proto``."""
