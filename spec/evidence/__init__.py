"""Evidence for a promotion while members leave, join and return."""
