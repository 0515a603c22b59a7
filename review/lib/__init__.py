"""Stand-ins and process control that the cases share."""
