"""The record of a run: what was sent, answered and run, in the order of events."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line for each event, with the seconds since the start.

    Parameters
    ----------
    path : Path
        The file, which is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start of the run, in seconds."""
        return time.monotonic() - self._began_at

    def add(self, event: str, **fields: object) -> float:
        """Write one event and return its time."""
        at = self.now()
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:9.4f} {event} {details}".rstrip() + "\n")
        self._file.flush()
        return at

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.add("note", text=text)
        print(f"{self.now():7.2f}s {text}", flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
