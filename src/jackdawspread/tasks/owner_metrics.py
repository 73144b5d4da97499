"""Metrics of the owners."""

from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "jackdawspread_owner_requests",
    "Requests that owners replied to.",
    ["database", "kind", "role", "outcome"],
)
QUEUE_LENGTH = Gauge(
    "jackdawspread_owner_queue_length",
    "Requests that wait in the queue of a database.",
    ["database"],
)
RETRIES = Counter(
    "jackdawspread_owner_repeats",
    "Requests that owners wished to send again, by whether the rule granted it.",
    ["granted"],
)
PROMOTIONS = Counter(
    "jackdawspread_owner_promotions",
    "Promotions by this instance.",
    ["database", "outcome"],
)
FAILOVER_GAP = Histogram(
    "jackdawspread_owner_failover_gap_seconds",
    "Time from the last answer of a replaced primary to the new term.",
    ["database"],
    buckets=(0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 4.0, 8.0, 16.0),
)
FALSE_ALARMS = Counter(
    "jackdawspread_owner_false_alarms",
    "Suspicions of a primary that answered before it was replaced.",
    ["database"],
)
