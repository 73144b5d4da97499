"""Turns operations into statements."""

from functools import singledispatch

from bench.operations import sql
from bench.operations.amend_limit import AmendLimit
from bench.operations.book_pickup import BookPickup
from bench.operations.browse_packets import BrowsePackets
from bench.operations.claim_packet import ClaimPacket
from bench.operations.offer_packet import OfferPacket
from bench.operations.prepared_call import PreparedCall
from bench.operations.read_exposure import ReadExposure
from bench.operations.read_own_amendments import ReadOwnAmendments
from bench.operations.read_own_claims import ReadOwnClaims
from bench.operations.read_ratings import ReadRatings
from bench.operations.set_limit import SetLimit
from jackdawspread.messages.statement import Scalar, Statement


@singledispatch
def prepare_call(operation: object, caller: str, request_id: str) -> PreparedCall:
    """Return the call that carries out an operation.

    Parameters
    ----------
    operation : NamedTuple
        One of the operations.
    caller : str
        Name under which the caller's records are stored.
    request_id : str
        Unique id, which is also the marker.
    """
    raise TypeError(f"no such operation: {type(operation).__name__}")


def _write(request_id: str, *parts: Statement, binding: bool = False) -> PreparedCall:
    marker = Statement(sql.MARKER, (request_id,))
    return PreparedCall((*parts, marker), writes=True, binding=binding)


def _read(text: str, *parameters: Scalar, age: int | None = None) -> PreparedCall:
    return PreparedCall((Statement(text, parameters),), max_staleness_ms=age)


@prepare_call.register
def _(operation: OfferPacket, caller: str, request_id: str) -> PreparedCall:
    packet, quantity = operation
    offer = Statement(sql.OFFER_PACKET, (packet, caller, quantity))
    return _write(request_id, offer, Statement(sql.OFFER_STOCK, (packet, quantity)))


@prepare_call.register
def _(operation: ClaimPacket, caller: str, request_id: str) -> PreparedCall:
    packet = operation.packet
    record = Statement(sql.CLAIM_RECORD, (request_id, caller, packet))
    stock = Statement(sql.CLAIM_STOCK, (packet,))
    return _write(request_id, record, stock, binding=True)


@prepare_call.register
def _(operation: BookPickup, caller: str, request_id: str) -> PreparedCall:
    return _write(request_id, Statement(sql.BOOK_PICKUP, (operation.day, caller)))


@prepare_call.register
def _(operation: BrowsePackets, caller: str, request_id: str) -> PreparedCall:
    return _read(sql.BROWSE_PACKETS, request_id, age=operation.max_staleness_ms)


@prepare_call.register
def _(operation: ReadOwnClaims, caller: str, request_id: str) -> PreparedCall:
    return _read(sql.OWN_CLAIMS, request_id, caller)._replace(reads_own=True)


@prepare_call.register
def _(operation: SetLimit, caller: str, request_id: str) -> PreparedCall:
    buyer, amount = operation
    record = Statement(sql.SET_RECORD, (request_id, caller, amount, buyer))
    limit = Statement(sql.SET_LIMIT, (amount, buyer))
    return _write(request_id, record, limit, binding=True)


@prepare_call.register
def _(operation: AmendLimit, caller: str, request_id: str) -> PreparedCall:
    buyer, change = operation
    record = Statement(sql.AMEND_RECORD, (request_id, caller, change, buyer))
    limit = Statement(sql.AMEND_LIMIT, (change, buyer))
    return _write(request_id, record, limit, binding=True)


@prepare_call.register
def _(operation: ReadExposure, caller: str, request_id: str) -> PreparedCall:
    buyer, age = operation
    return _read(sql.READ_EXPOSURE, request_id, buyer, age=age)


@prepare_call.register
def _(operation: ReadRatings, caller: str, request_id: str) -> PreparedCall:
    return _read(sql.READ_RATINGS, request_id, age=operation.max_staleness_ms)


@prepare_call.register
def _(operation: ReadOwnAmendments, caller: str, request_id: str) -> PreparedCall:
    return _read(sql.OWN_AMENDMENTS, request_id, caller)._replace(reads_own=True)
