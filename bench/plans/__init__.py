"""What is started and how it is loaded."""
