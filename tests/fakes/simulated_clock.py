"""A clock for simulations in which code that sleeps runs in several threads.

The threads run one at a time, in the order of their wake-up times, so a simulation
does the same in every run. Simulated time passes only while all threads sleep.
"""

import heapq
import threading

from arbutuscleat.core import Clock
from tests.fakes.clock import START


class _Stopped(BaseException):
    """Ends the thread of a process when the simulation ends."""


def _closed_gate():
    """Return a lock that is held: acquiring it waits for another thread's release."""
    gate = threading.Lock()
    gate.acquire()
    return gate


class _Process:
    def __init__(self, clock, target, name):
        self.clock = clock
        self.target = target
        self.turn = _closed_gate()
        self.wake_number = 0
        self.is_over = False
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.thread.start()

    def _run(self):
        self.turn.acquire()
        try:
            if not self.clock.is_stopping:
                self.target()
        except _Stopped:
            pass
        except BaseException as exc:
            self.clock.error = exc
        finally:
            self.is_over = True
            self.clock.main_turn.release()


class SimulatedClock(Clock):
    """A clock on which processes, each with its own thread, take turns.

    Attributes
    ----------
    elapsed : float
        Current monotonic time in seconds.
    offset_ms : int
        By how much the wall clock is ahead.
    """

    def __init__(self):
        self.elapsed = 1000.0
        self.offset_ms = 0
        self.is_stopping = False
        self.error = None
        self.main_turn = _closed_gate()
        self._due = []
        self._count = 0
        self._processes = []
        self._current = None

    def monotonic(self):
        return self.elapsed

    def now_ms(self):
        return int(START.timestamp() * 1000 + self.elapsed * 1000) + self.offset_ms

    def now(self):
        raise NotImplementedError("simulations use milliseconds")

    # ---- for the simulation ----

    def spawn(self, target, name="process"):
        """Run a function in a process of its own."""
        process = _Process(self, target, name)
        self._processes.append(process)
        self.schedule(process, 0.0)

    def run(self, seconds):
        """Let simulated time pass; an exception of a process is raised here."""
        until = self.elapsed + seconds
        while self._due and self._due[0][0] <= until:
            due, _, process, wake_number = heapq.heappop(self._due)
            if process.is_over or process.wake_number != wake_number:
                continue
            self.elapsed = max(self.elapsed, due)
            self._switch_to(process)
            if self.error is not None:
                raise self.error
        self.elapsed = until
        self._processes = [item for item in self._processes if not item.is_over]

    def stop(self):
        """End all processes."""
        self.is_stopping = True
        for process in self._processes:
            if not process.is_over:
                self._switch_to(process)

    # ---- for processes ----

    def pause(self, seconds):
        """Sleep; other processes run in the meantime."""
        self.schedule(self._current, seconds)
        self._yield()

    def schedule(self, process, seconds):
        """Wake a process after some seconds, instead of at its former time."""
        self._count += 1
        process.wake_number = self._count
        due = self.elapsed + seconds
        heapq.heappush(self._due, (due, self._count, process, self._count))

    def current(self):
        """Return the process that runs."""
        return self._current

    def wait(self, condition, timeout):
        condition.wait(timeout)
        return False

    def sleep(self, event, timeout):
        if not event.is_set():
            self.pause(timeout)
        return event.is_set()

    def _switch_to(self, process):
        self._current = process
        process.turn.release()
        self.main_turn.acquire()
        self._current = None

    def _yield(self):
        process = self._current
        self.main_turn.release()
        process.turn.acquire()
        if self.is_stopping:
            raise _Stopped


class SimulatedCondition(threading.Condition):
    """A condition on which processes of a `SimulatedClock` wait."""

    def __init__(self, clock, lock=None):
        super().__init__(lock)
        self.clock = clock
        self.waiting = []

    def wait(self, timeout=None):
        process = self.clock.current()
        self.waiting.append(process)
        state = self._release_save()
        try:
            self.clock.pause(timeout)
        finally:
            self._acquire_restore(state)
            if process in self.waiting:
                self.waiting.remove(process)
        return False

    def notify_all(self):
        for process in self.waiting:
            self.clock.schedule(process, 0.0)
        self.waiting.clear()


class SimulatedQueue:
    """A queue from which processes of a `SimulatedClock` get items."""

    def __init__(self, clock):
        self.clock = clock
        self.items = []
        self.waiting = []

    def put(self, item):
        self.items.append(item)
        for process in self.waiting:
            self.clock.schedule(process, 0.0)
        self.waiting.clear()

    def empty(self):
        return not self.items

    def get(self):
        while not self.items:
            self.waiting.append(self.clock.current())
            self.clock.pause(10.0)
        return self.items.pop(0)
