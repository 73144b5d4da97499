"""Names under which members know prepared shapes."""

from xxhash import xxh64_hexdigest


def prepared_statement_name(writes: bool, template: str) -> str:
    """Return the name of a shape on every member connection.

    The name follows from the shape, so that all sessions which use a connection
    share one prepared statement for each shape.
    """
    return ("w" if writes else "r") + xxh64_hexdigest(template.encode())
