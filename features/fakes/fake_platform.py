"""Platform's table in memory."""

from typing import Any


class FakePlatform:
    """Answers table calls; versions grow over all rows, as in the stand-in."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self.history: dict[str, list[dict[str, Any]]] = {}
        self.is_up = True
        self.targets: set[str] = set()
        self._last_version = 0

    def call(self, target: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Return status and body of one call."""
        self.targets.add(target)
        if target == "/table/read":
            return 200, {"rows": self._rows(body["keys"])}
        expect = body["expect"]
        if any(self._version(key) != version for key, version in expect.items()):
            return 409, {"rows": self._rows(expect)}
        self._last_version += 1
        for key, value in body["put"].items():
            self.rows[key] = {"version": self._last_version, "value": value}
            self.history.setdefault(key, []).append(value)
        return 200, {"versions": {key: self._version(key) for key in body["put"]}}

    def _version(self, key: str) -> int:
        return int(self.rows.get(key, {"version": 0})["version"])

    def _rows(self, keys: Any) -> dict[str, Any]:
        return {key: self.rows[key] for key in keys if key in self.rows}
