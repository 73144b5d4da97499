"""Messages between an instance and the pool hosts whose member connections it uses."""
