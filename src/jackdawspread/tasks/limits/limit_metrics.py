"""Metrics of the limits on connections."""

from prometheus_client import Counter, Gauge

CONNECTIONS_CLOSED = Counter(
    "jackdawspread_connections_closed",
    "Connections that a limit has closed, by part and reason.",
    ("part", "reason"),
)
CONNECTIONS_REFUSED = Counter(
    "jackdawspread_connections_refused",
    "Connections and messages that a limit has refused, by part and reason.",
    ("part", "reason"),
)
HELD_BYTES = Gauge(
    "jackdawspread_held_bytes", "Memory held for connections, as estimated."
)
