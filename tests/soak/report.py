"""What the soak has seen: a log of events, and the violations that the checks found."""

import threading
import time
from collections import Counter
from pathlib import Path


class Report:
    """Log of one run; thread-safe."""

    def __init__(self, path: Path):
        self._file = path.open("w", buffering=1)
        self._lock = threading.Lock()
        self._start_time = time.monotonic()
        self._seen: set[tuple] = set()
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()

    def event(self, text: str) -> None:
        now = time.time()
        clock = time.strftime("%H:%M:%S", time.gmtime(now)) + f"{now % 1:.3f}"[1:]
        elapsed = time.monotonic() - self._start_time
        with self._lock:
            self._file.write(f"{elapsed:8.3f} {clock} {text}\n")

    def count(self, name: str) -> None:
        """Count an event that is too frequent for the log."""
        with self._lock:
            self.counts[name] += 1

    def violation(self, rule: str, subject: object, text: str) -> None:
        """Record a violation, once for each rule and subject."""
        with self._lock:
            if (rule, subject) in self._seen:
                return
            self._seen.add((rule, subject))
            self.violations.append(f"{rule} {subject}: {text}")
        self.event(f"VIOLATION {rule} {subject}: {text}")
