"""Messages that callers, peers, databases, the platform and operators exchange."""
