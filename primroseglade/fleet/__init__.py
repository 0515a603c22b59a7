"""What the nodes know of one another, and how they tell it."""
