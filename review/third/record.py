"""The record of a script: what was sent, answered and run, with times."""

import threading
import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start to a file.

    Parameters
    ----------
    path : Path
        The file, which is replaced.
    """

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.seconds():9.3f} {text}\n")
            self._file.flush()
