"""What a process tells of itself: numbered events, metrics, traces, decisions."""
