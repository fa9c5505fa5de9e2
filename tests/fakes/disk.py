"""A disk in memory that can tear a write or fail a sync."""

from arbutuscleat.consensus import Disk


class MemoryDisk(Disk):
    """Files in memory.

    `fail_at` counts down with each write; the write that reaches zero fails as
    `fault` says: "error" writes nothing, "torn" leaves the first half of an
    append, "unsynced" writes everything and then fails the sync.  Every later
    write fails as well until `repair`.
    """

    def __init__(self, files=None):
        self.files = dict(files or {})
        self.fail_at = None
        self.fault = "error"
        self.writes = 0
        self.broken = False

    def copy(self):
        return MemoryDisk(self.files)

    def repair(self):
        self.broken = False
        self.fail_at = None

    def read(self, name):
        return self.files.get(name)

    def append(self, name, data):
        before = self.files.get(name, b"")
        self._write(name, before + data, before + data[: len(data) // 2])

    def replace(self, name, data):
        self._write(name, data, self.files.get(name))

    def truncate(self, name, size):
        self._write(name, self.files[name][:size], self.files[name])

    def _write(self, name, whole, torn):
        self.writes += 1
        if self.fail_at is not None:
            self.fail_at -= 1
            if self.fail_at <= 0 and not self.broken:
                self.broken = True
                kept = {"torn": torn, "unsynced": whole}.get(self.fault)
                if kept is not None:
                    self.files[name] = kept
                raise OSError(28, "injected fault")
        if self.broken:
            raise OSError(5, "injected fault")
        self.files[name] = whole
