"""Metrics of callers' sessions."""

from prometheus_client import Counter, Gauge, Histogram

STATEMENTS = Counter(
    "jackdawspread_statements",
    "Statements answered, by consistency of the route, kind and result code.",
    ("consistency", "kind", "code"),
)
STATEMENT_SECONDS = Histogram(
    "jackdawspread_statement_seconds",
    "Time from arrival to answer of a statement.",
    ("consistency", "kind"),
    buckets=(0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6),
)
READS = Counter(
    "jackdawspread_reads",
    "Reads answered, by the place that answered them.",
    ("place",),
)
SESSIONS = Gauge("jackdawspread_sessions", "Open sessions of callers.")
SESSIONS_ENDED = Counter(
    "jackdawspread_sessions_ended", "Sessions of callers that ended.", ("reason",)
)
REQUESTS_DROPPED = Counter(
    "jackdawspread_requests_dropped",
    "Complete requests that were received and dropped while their session was closed.",
    ("reason",),
)
