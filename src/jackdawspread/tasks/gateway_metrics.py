"""Metrics of the gateway."""

from prometheus_client import Counter, Histogram

REQUESTS = Counter(
    "jackdawspread_requests",
    "Requests replied to, by kind and result code.",
    ("workspace", "kind", "code"),
)
REQUEST_SECONDS = Histogram(
    "jackdawspread_request_seconds",
    "Time from arrival to reply.",
    ("kind",),
    buckets=(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10),
)
RATE_ADMISSIONS = Counter(
    "jackdawspread_rate_admissions",
    "Requests admitted within their workspace's rate, by source of the token.",
    ("workspace", "source"),
)
REROUTES = Counter(
    "jackdawspread_reroutes",
    "Requests tried again at another instance, by the code of the refusal.",
    ("code",),
)
