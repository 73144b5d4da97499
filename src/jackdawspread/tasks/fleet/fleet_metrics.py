"""Metrics of admission, configuration, rate shares, loans and failovers."""

from prometheus_client import Counter, Gauge, Histogram

ADMISSIONS = Counter(
    "jackdawspread_admissions",
    "Operations by the result of their admission.",
    ("code",),
)
CONFIGURATION_VERSION = Gauge(
    "jackdawspread_configuration_version", "Version of the configuration in force."
)
CONFIGURATION_AGE = Gauge(
    "jackdawspread_configuration_age_seconds",
    "Time since the store last confirmed the configuration.",
)
SHARE = Gauge(
    "jackdawspread_rate_share_ratio",
    "Part of a workspace's rate that this instance may use.",
    ("workspace",),
)
LOANS = Counter(
    "jackdawspread_token_loans",
    "Answers of peers that were asked for tokens.",
    ("result",),
)
STORE_CALLS = Counter(
    "jackdawspread_store_calls",
    "Calls to the store by the task that made them and whether they were answered.",
    ("user", "result"),
)
DATAGRAMS = Counter(
    "jackdawspread_peer_datagrams",
    "Datagrams between instances by direction and kind of message.",
    ("direction", "kind"),
)
MEMBER_CONNECTIONS = Counter(
    "jackdawspread_member_connections",
    "Attempts to open a connection to a member, by result.",
    ("result",),
)
PROMOTIONS = Counter(
    "jackdawspread_promotions", "Attempts to promote a member, by result.", ("result",)
)
PROMOTION_SECONDS = Histogram(
    "jackdawspread_promotion_seconds",
    "Time from the first doubt to the accepted promotion.",
    buckets=(0.1, 0.25, 0.5, 1, 2, 4, 8, 16),
)
