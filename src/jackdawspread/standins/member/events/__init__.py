"""Messages and timers of the member's node task."""
