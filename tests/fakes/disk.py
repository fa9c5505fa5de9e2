"""An in-memory disk that injects torn writes and failed syncs."""

from arbutuscleat.consensus import Disk


class MemoryDisk(Disk):
    """Files in memory, with an injected write failure.

    Parameters
    ----------
    files : dict of str to bytes, optional
        Initial contents by file name.

    Attributes
    ----------
    fail_at : int or None
        Number of writes until one fails: 1 fails the next write, None fails none.
        Every later write fails as well, until `repair` is called.
    fault : str
        How the write fails: "error" writes nothing, "torn" writes the first half of the
        data of an append, "unsynced" writes everything and then fails the sync.
    writes : int
        Number of attempted writes.
    broken : bool
        Whether a write has failed since the last `repair`.
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

    def sizes(self):
        return {name: len(data) for name, data in self.files.items()}

    def _write(self, name, whole, torn):
        self.writes += 1
        if self.fail_at is not None:
            self.fail_at -= 1
            if self.fail_at <= 0 and not self.broken:
                self.broken = True
                written = {"torn": torn, "unsynced": whole}.get(self.fault)
                if written is not None:
                    self.files[name] = written
                raise OSError(28, "injected fault")
        if self.broken:
            raise OSError(5, "injected fault")
        self.files[name] = whole
