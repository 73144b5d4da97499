CREATE TABLE packets (
    id INTEGER PRIMARY KEY,
    species TEXT NOT NULL,
    workspace TEXT NOT NULL,
    grams INTEGER NOT NULL CHECK (grams > 0)
);
CREATE TABLE claims (
    id TEXT PRIMARY KEY,
    packet_id INTEGER NOT NULL REFERENCES packets (id),
    workspace TEXT NOT NULL,
    amount INTEGER NOT NULL CHECK (amount > 0)
);
CREATE TABLE stock (
    packet_id INTEGER PRIMARY KEY REFERENCES packets (id),
    available INTEGER NOT NULL CHECK (available >= 0)
);
WITH RECURSIVE n (i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 200)
INSERT INTO packets
SELECT i, 'species-' || (i % 40), 'workspace-' || (i % 8 + 1), 5 + i % 20 FROM n;
INSERT INTO stock SELECT id, 1000000 FROM packets;
