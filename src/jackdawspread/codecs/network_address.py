"""Addresses of the form ``IP:port``."""

from socket import AF_INET, inet_pton

MAX_PORT = 65_535


def parse_address(text: str) -> tuple[str, int]:
    """Split an address.

    Names are not accepted, as they would be looked up.

    Raises
    ------
    ValueError
        If the text is not an IPv4 address and a port from 1 to 65535.
    """
    host, _, digits = text.rpartition(":")
    try:
        inet_pton(AF_INET, host)
    except (OSError, UnicodeError) as error:
        raise ValueError(f"no IPv4 address in {text[:40]!r}") from error
    is_number = digits.isascii() and digits.isdigit() and len(digits) <= 5
    if not is_number or not 0 < int(digits) <= MAX_PORT:
        raise ValueError(f"no port from 1 to {MAX_PORT} in {text[:40]!r}")
    return host, int(digits)
