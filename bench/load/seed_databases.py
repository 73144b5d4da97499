"""Creates tables and initial data through an entry instance."""

from trio import current_time, open_nursery, sleep

from bench.bench_error import BenchError
from bench.client.http_connection import HttpConnection
from bench.load.encode_call import encode_call
from bench.load.seed_data import (
    BUYERS_PER_DATABASE,
    HIGHEST_RATING,
    LOWEST_RATING,
    PACKET_QUANTITY,
    PACKETS_PER_DATABASE,
    buyer_name,
    initial_packet,
)
from bench.operations import sql
from bench.operations.prepared_call import PreparedCall
from jackdawspread.messages.statement import Statement

SEED_TIMEOUT_S = 20.0
RETRY_S = 0.2
MAX_STATEMENTS = 50


class SeedError(BenchError):
    """The initial data could not be written."""


async def seed_databases(
    deployment: str, databases: list[str], address: str, key: str, callers: int
) -> None:
    """Write tables and initial data, each transaction under a fixed request id.

    Raises
    ------
    SeedError
        If a write is not acknowledged in time.
    """
    tables = [Statement(text) for text in sql.TABLES_BY_DEPLOYMENT[deployment]]
    rows = _packets(callers) if deployment == "saltbush" else _buyers()
    async with open_nursery() as nursery:
        for database in databases:
            nursery.start_soon(_seed, address, key, database, tables, rows)


async def _seed(
    address: str,
    key: str,
    database: str,
    tables: list[Statement],
    rows: list[Statement],
) -> None:
    connection = HttpConnection(address)
    try:
        await _write(connection, key, database, "seed-tables", tables)
        for first in range(0, len(rows), MAX_STATEMENTS):
            part = rows[first : first + MAX_STATEMENTS]
            await _write(connection, key, database, f"seed-{first}", part)
    finally:
        await connection.aclose()


async def _write(
    connection: HttpConnection,
    key: str,
    database: str,
    request_id: str,
    statements: list[Statement],
) -> None:
    call = PreparedCall(tuple(statements), writes=True)
    target, body, headers = encode_call(database, request_id, call, key, "")
    deadline = current_time() + SEED_TIMEOUT_S
    while True:
        reply = await connection.call("POST", target, body, headers)
        if reply.status == 200:
            return
        if current_time() > deadline:
            answer = reply.body.decode(errors="replace") or reply.error
            detail = f"database {database}: {request_id}: {reply.status} {answer}"
            raise SeedError(detail)
        await sleep(RETRY_S)


def _packets(callers: int) -> list[Statement]:
    statements = []
    for index in range(PACKETS_PER_DATABASE):
        packet, owner = initial_packet(index, callers)
        offer = (packet, owner, PACKET_QUANTITY)
        statements.append(Statement(sql.OFFER_PACKET, offer))
        statements.append(Statement(sql.OFFER_STOCK, (packet, PACKET_QUANTITY)))
    return statements


def _buyers() -> list[Statement]:
    statements = []
    for index in range(BUYERS_PER_DATABASE):
        buyer = buyer_name(index)
        rating = LOWEST_RATING + index % (HIGHEST_RATING - LOWEST_RATING + 1)
        statements.append(Statement(sql.ADD_BUYER, (buyer, rating)))
        statements.append(Statement(sql.ADD_LIMIT, (buyer,)))
    return statements
