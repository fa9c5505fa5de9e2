"""Record of a trial: one line for whatever is sent, answered and run."""

import threading
import time


class Record:
    """Writes `record.txt`; thread-safe."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def seconds(self):
        """Return the seconds since the trial began."""
        return time.monotonic() - self._began_at

    def note(self, text):
        """Write one line with the time."""
        with self._lock:
            self._file.write(f"{self.seconds():8.3f} {text}\n")
            self._file.flush()
