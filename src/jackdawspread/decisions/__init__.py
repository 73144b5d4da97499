"""Pure decisions over messages and state, free of I/O and clocks."""
