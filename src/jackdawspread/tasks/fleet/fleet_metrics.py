"""Metrics of admission, configuration, rate leases, peers and failovers."""

from prometheus_client import Counter, Gauge, Histogram

ADMISSIONS = Counter(
    "jackdawspread_admissions",
    "Operations by the result of their admission.",
    ("code",),
)
CONFIGURATION_VERSION = Gauge(
    "jackdawspread_configuration_version", "Version of the configuration in force."
)
NEWEST_CONFIGURATION_VERSION = Gauge(
    "jackdawspread_newest_configuration_version",
    "Newest version of the configuration that is known to exist.",
)
CONFIGURATION_TRANSFERS = Counter(
    "jackdawspread_configuration_transfers",
    "Attempts to get the configuration, by the way and the result.",
    ("way", "result"),
)
CONFIGURATION_BYTES = Counter(
    "jackdawspread_configuration_bytes",
    "Bytes received in attempts to get the configuration, by the way and the result.",
    ("way", "result"),
)
CONFIGURATION_DELAY_SECONDS = Histogram(
    "jackdawspread_configuration_delay_seconds",
    "Time from the store's answer with a new version to its use, by the way.",
    ("way",),
    buckets=(0.01, 0.03, 0.1, 0.3, 1, 2, 3, 5, 10, 30),
)
CONFIGURATION_AGE = Gauge(
    "jackdawspread_configuration_age_seconds",
    "Time since the store last confirmed the configuration.",
)
EVACUATED_DOMAINS = Gauge(
    "jackdawspread_evacuated_failure_domains",
    "Failure domains that are evacuated on an operator's request.",
)
COLD_TOKENS = Counter(
    "jackdawspread_cold_member_statements",
    "Statements for cold members, by whether they got a token to be sent.",
    ("result",),
)
ROUTING_REFUSALS = Counter(
    "jackdawspread_routing_refusals",
    "Requests for a member that were refused at once, by reason.",
    ("reason",),
)
RATE_LEASES_HELD = Gauge(
    "jackdawspread_rate_leases",
    "Number of rate leases that this instance holds.",
)
TOKEN_REQUESTS = Counter(
    "jackdawspread_token_requests",
    "Requests for rate tokens to the holders of the leases, by result.",
    ("result",),
)
STORE_CALLS = Counter(
    "jackdawspread_store_calls",
    "Calls to the store by the task that made them and whether they were answered.",
    ("user", "result"),
)
STORE_RESTORES = Counter(
    "jackdawspread_store_restores",
    "Times that a task found the store restored from a copy.",
    ("user",),
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
MEMBER_LEASES = Counter(
    "jackdawspread_member_leases",
    "Requests for a member connection by the instance that serves them.",
    ("place",),
)
MEMBER_ADMISSIONS = Counter(
    "jackdawspread_member_admissions",
    "Requests for a member connection by what became of them and by priority.",
    ("result", "priority"),
)
MEMBER_CONCURRENCY_LIMIT = Gauge(
    "jackdawspread_member_concurrency_limit",
    "Statements that this instance may have in progress at a member.",
    ("member",),
)
DOMAIN_DEPARTURES = Counter(
    "jackdawspread_domain_departures",
    "Reads sent to another failure domain because of the wait or for lack of a member, "
    "and reads of others refused for lack of room, by member group.",
    ("group", "result"),
)
DEPARTURE_SHARE = Gauge(
    "jackdawspread_departure_share",
    "Fraction of the reads of a member group that leave the failure domain.",
    ("group",),
)
CROSSING_LEASES = Counter(
    "jackdawspread_crossing_leases",
    "Leases requested from pool hosts, by whether these are in another failure domain.",
    ("place",),
)
CROSSING_BYTES = Counter(
    "jackdawspread_crossing_bytes",
    "Bytes exchanged with pool hosts of other failure domains.",
    ("direction",),
)
UNEXPECTED_ERRORS = Counter(
    "jackdawspread_unexpected_errors",
    "Sessions and connections that an unexpected error has ended, by part.",
    ("part",),
)
LOST_COMMITS = Counter(
    "jackdawspread_lost_commits_detected",
    "Promotions whose log lacks a commit that this instance has seen acknowledged.",
)
PROMOTIONS = Counter(
    "jackdawspread_promotions", "Attempts to promote a member, by result.", ("result",)
)
PROMOTION_SECONDS = Histogram(
    "jackdawspread_promotion_seconds",
    "Time from the first doubt to the accepted promotion.",
    buckets=(0.1, 0.25, 0.5, 1, 2, 4, 8, 16),
)
