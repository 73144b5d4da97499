"""Entries of a transaction on the proxy's table in the platform's store."""

from base64 import b64encode

TABLE = "jackdawspread"

Entry = dict[str, str | int]


def removal_entry(name: str) -> Entry:
    """Return the entry that names a row, for example to remove it."""
    return {"Table": TABLE, "part": "", "Key": name}


def condition_entry(name: str, version: int) -> Entry:
    """Return the condition that a row has a version; 0 if it must not exist."""
    return {**removal_entry(name), "Ver": version}


def put_entry(name: str, value: bytes) -> Entry:
    """Return the entry that writes a row."""
    return {**removal_entry(name), "Value": b64encode(value).decode()}
