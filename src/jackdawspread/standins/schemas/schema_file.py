"""Loading of database schemas."""

from importlib.resources import files
from pathlib import Path

BUILT_IN = ("saltbush", "sao_mai")


def read_schema(schema: str) -> str:
    """Return the SQL of a built-in schema or of a file; an empty name means none."""
    if schema in BUILT_IN:
        resource = files("jackdawspread.standins.schemas") / f"{schema}.sql"
        return resource.read_text(encoding="utf-8")
    return Path(schema).read_text(encoding="utf-8") if schema else ""
