"""The record of a trial: one JSON object a line, appended by several processes."""

import json
import os
import threading
import time
from pathlib import Path
from typing import Any


class Record:
    """Appends events to a file and keeps those of this process in memory.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path):
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._lock = threading.Lock()
        self.path = path

    def note(self, what: str, **details: Any) -> None:
        """Append an event with the present Unix time in milliseconds."""
        line = json.dumps({"at": int(time.time() * 1000), "what": what, **details})
        with self._lock:
            os.write(self._file, line.encode() + b"\n")

    def events(self, what: str) -> list[dict[str, Any]]:
        """Return the events of a kind that any process has recorded so far."""
        found = []
        for line in self.path.read_text().splitlines():
            event = json.loads(line)
            if event["what"] == what:
                found.append(event)
        return found
