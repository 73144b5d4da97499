"""Translation between messages and bytes."""
