"""Checks of single settings values."""

from collections.abc import Callable
from ipaddress import ip_address

from expression import Error, Ok, Result

MAX_PORT = 65535


def check_address(text: str) -> Result[str, str]:
    """Accept ``IP:port``."""
    accepted = "IP:port, for example 127.0.0.1:7000"
    host, _, port = text.rpartition(":")
    try:
        ip_address(host)
    except ValueError:
        return Error(accepted)
    if not port.isdecimal() or int(port) > MAX_PORT:
        return Error(accepted)
    return Ok(text)


def check_count(text: str) -> Result[int, str]:
    """Accept a whole number of at least 1."""
    if text.isdecimal() and int(text) >= 1:
        return Ok(int(text))
    return Error("a whole number of at least 1")


def check_text(text: str) -> Result[str, str]:
    """Accept any text that is not empty."""
    return Ok(text) if text else Error("a text that is not empty")


def check_choice(*choices: str) -> Callable[[str], Result[str, str]]:
    """Return a check that accepts one of some words."""

    def check(text: str) -> Result[str, str]:
        return Ok(text) if text in choices else Error(" or ".join(choices))

    return check


def check_hex(text: str) -> Result[str, str]:
    """Accept a SHA-256 digest in hexadecimal."""
    digits = set("0123456789abcdef")
    if len(text) == 64 and set(text) <= digits:
        return Ok(text)
    return Error("64 hexadecimal digits, the SHA-256 of the operator credential")
