"""Validation of single values of settings."""

from collections.abc import Callable
from ipaddress import ip_address

from expression import Error, Ok, Result

MAX_PORT = 65535
MAX_DIGITS = 9


def check_address(text: str) -> Result[str, str]:
    """Accept ``IP:port``."""
    accepted = "IP:port, for example 127.0.0.1:7000"
    host, _, port = text.rpartition(":")
    try:
        ip_address(host)
    except ValueError:
        return Error(accepted)
    if not _is_number(port) or int(port) > MAX_PORT:
        return Error(accepted)
    return Ok(text)


def check_count(text: str) -> Result[int, str]:
    """Accept a whole number of at least 1."""
    if _is_number(text) and int(text) >= 1:
        return Ok(int(text))
    return Error(f"a whole number of at least 1, with at most {MAX_DIGITS} digits")


def check_text(text: str) -> Result[str, str]:
    """Accept any text that is not empty."""
    return Ok(text) if text else Error("a text that is not empty")


def check_choice(*choices: str) -> Callable[[str], Result[str, str]]:
    """Return a check that accepts one of the given choices."""

    def check(text: str) -> Result[str, str]:
        return Ok(text) if text in choices else Error(" or ".join(choices))

    return check


def check_name(text: str) -> Result[str, str]:
    """Accept a name that can be part of a URL path and of a transaction id."""
    if text.isascii() and text.replace("-", "").replace("_", "").isalnum():
        return Ok(text)
    return Error("a name of letters, digits, - and _")


def check_sha256(text: str) -> Result[str, str]:
    """Accept a SHA-256 digest in hexadecimal."""
    digits = set("0123456789abcdef")
    if len(text) == 64 and set(text) <= digits:
        return Ok(text)
    return Error("64 hexadecimal digits, the SHA-256 of the operator credential")


def _is_number(text: str) -> bool:
    # int() raises ValueError for texts of several thousand digits.
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
