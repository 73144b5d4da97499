"""Names of prepared statements on member connections."""

from xxhash import xxh64_hexdigest


def prepared_statement_name(writes: bool, template: str) -> str:
    """Return the name of a template on every member connection.

    A template is the text of a prepared statement without its arguments. The name is
    a hash of the template, so that all sessions that use a connection share one
    prepared statement for each template.
    """
    return ("w" if writes else "r") + xxh64_hexdigest(template.encode())
