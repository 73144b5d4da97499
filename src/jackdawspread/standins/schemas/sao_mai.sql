CREATE TABLE buyers (
    id INTEGER PRIMARY KEY,
    name TEXT NOT NULL,
    workspace TEXT NOT NULL
);
CREATE TABLE limits (
    buyer_id INTEGER PRIMARY KEY REFERENCES buyers (id),
    amount INTEGER NOT NULL CHECK (amount >= 0)
);
CREATE TABLE exposure (
    id TEXT PRIMARY KEY,
    buyer_id INTEGER NOT NULL REFERENCES buyers (id),
    workspace TEXT NOT NULL,
    amount INTEGER NOT NULL
);
CREATE INDEX exposure_by_buyer ON exposure (buyer_id);
WITH RECURSIVE n (i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 200)
INSERT INTO buyers SELECT i, 'buyer-' || i, 'workspace-' || (i % 8 + 1) FROM n;
INSERT INTO limits SELECT id, 1000000 FROM buyers;
