"""Captures log events in tests."""

from typing import Any

from dewstep_core import events


class EventCapture:
    """Log events since the start of a test.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
        Restores the log at the end of the test.
    """

    def __init__(self, monkeypatch):
        self.captured: list[tuple[str, dict[str, Any]]] = []
        monkeypatch.setattr(events, "log", self._record)

    def _record(self, level: int, name: str, /, **fields: Any) -> None:
        # Rendering fails for values that cannot be written as JSON.
        events.render_json(level, name, fields)
        self.captured.append((name, fields))

    def find(self, name: str, **expected: Any) -> list[dict[str, Any]]:
        """Return the fields of the events with a name and the expected values."""
        return [
            fields
            for captured, fields in self.captured
            if captured == name
            and all(fields[field] == value for field, value in expected.items())
        ]
