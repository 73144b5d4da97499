"""All SQL of the bench.

Every read selects a marker that is unique to the request, and every write ends
with a statement that does, so that an answer delivered to the wrong caller is
recognized. A binding record is a row of ``claims`` or ``exposure`` with the
request id; the column is not unique, so that a record made twice shows.
"""

MARKER = "SELECT ? AS marker"

SALTBUSH_TABLES = (
    "CREATE TABLE IF NOT EXISTS packets"
    " (packet TEXT PRIMARY KEY, owner TEXT, quantity INTEGER)",
    "CREATE TABLE IF NOT EXISTS stock (packet TEXT PRIMARY KEY, remaining INTEGER)",
    "CREATE TABLE IF NOT EXISTS claims"
    " (id INTEGER PRIMARY KEY, request TEXT, packet TEXT, claimer TEXT,"
    " pickup INTEGER)",
)
SAOMAI_TABLES = (
    "CREATE TABLE IF NOT EXISTS buyers (buyer TEXT PRIMARY KEY, rating INTEGER)",
    "CREATE TABLE IF NOT EXISTS limits (buyer TEXT PRIMARY KEY, amount INTEGER)",
    "CREATE TABLE IF NOT EXISTS exposure"
    " (id INTEGER PRIMARY KEY, request TEXT, buyer TEXT, agent TEXT, change INTEGER)",
)
TABLES_BY_DEPLOYMENT = {"saltbush": SALTBUSH_TABLES, "saomai": SAOMAI_TABLES}

OFFER_PACKET = "INSERT INTO packets (packet, owner, quantity) VALUES (?, ?, ?)"
OFFER_STOCK = "INSERT INTO stock (packet, remaining) VALUES (?, ?)"
CLAIM_RECORD = (
    "INSERT INTO claims (request, packet, claimer) SELECT ?, packet, ? FROM stock"
    " WHERE packet = ? AND remaining > 0"
)
CLAIM_STOCK = (
    "UPDATE stock SET remaining = remaining - 1 WHERE packet = ? AND remaining > 0"
)
BOOK_PICKUP = "UPDATE claims SET pickup = ? WHERE claimer = ?"
BROWSE_PACKETS = (
    "SELECT m.marker, p.packet, p.remaining FROM (SELECT ? AS marker) AS m"
    " LEFT JOIN (SELECT packet, remaining FROM stock WHERE remaining > 0"
    " ORDER BY packet LIMIT 20) AS p"
)
OWN_CLAIMS = (
    "SELECT m.marker, c.request FROM (SELECT ? AS marker) AS m"
    " LEFT JOIN claims AS c ON c.claimer = ?"
)

ADD_BUYER = "INSERT OR IGNORE INTO buyers (buyer, rating) VALUES (?, ?)"
ADD_LIMIT = "INSERT OR IGNORE INTO limits (buyer, amount) VALUES (?, 0)"
SET_RECORD = (
    "INSERT INTO exposure (request, buyer, agent, change)"
    " SELECT ?, buyer, ?, ? - amount FROM limits WHERE buyer = ?"
)
SET_LIMIT = "UPDATE limits SET amount = ? WHERE buyer = ?"
AMEND_RECORD = (
    "INSERT INTO exposure (request, buyer, agent, change)"
    " SELECT ?, buyer, ?, ? FROM limits WHERE buyer = ?"
)
AMEND_LIMIT = "UPDATE limits SET amount = amount + ? WHERE buyer = ?"
READ_EXPOSURE = (
    "SELECT m.marker, sum(e.change) FROM (SELECT ? AS marker) AS m"
    " LEFT JOIN exposure AS e ON e.buyer = ? GROUP BY m.marker"
)
READ_RATINGS = (
    "SELECT m.marker, b.buyer, b.rating FROM (SELECT ? AS marker) AS m"
    " LEFT JOIN (SELECT buyer, rating FROM buyers ORDER BY rating LIMIT 20) AS b"
)
OWN_AMENDMENTS = (
    "SELECT m.marker, e.request FROM (SELECT ? AS marker) AS m"
    " LEFT JOIN exposure AS e ON e.agent = ?"
)

RECORDS_BY_DEPLOYMENT = {
    "saltbush": "SELECT request FROM claims ORDER BY id",
    "saomai": "SELECT request FROM exposure ORDER BY id",
}
# Rows are things whose records and total disagree; each is a lost or doubled part
# of a transaction.
MISMATCHES_BY_DEPLOYMENT = {
    "saltbush": (
        "SELECT p.packet, p.quantity, s.remaining FROM packets AS p"
        " LEFT JOIN stock AS s ON s.packet = p.packet"
        " WHERE s.remaining IS NULL OR s.remaining < 0 OR p.quantity - s.remaining <>"
        " (SELECT count(*) FROM claims AS c WHERE c.packet = p.packet)"
    ),
    "saomai": (
        "SELECT l.buyer, l.amount FROM limits AS l WHERE l.amount <> (SELECT"
        " coalesce(sum(e.change), 0) FROM exposure AS e WHERE e.buyer = l.buyer)"
    ),
}
