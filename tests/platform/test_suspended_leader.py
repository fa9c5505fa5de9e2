"""Tests that a leader that was suspended anywhere sends no outdated order.

The path from the plan of an upkeep to the write of its order is run with the real
machine controller and the real client of the provider. The steps that a suspension may
separate are counted: readings of the clock, answers of the replica, commits, and calls
of the socket. The process is then suspended before each of the steps in turn.
"""

import io
from unittest import mock

from berthline.provider_calls import BerthlineProvider
from testtools import TestCase

from arbutuscleat.execution import ExecutionLimits, MachineState
from arbutuscleat.execution.machine_controller import MachineController
from arbutuscleat.execution.machine_leases import ORDER_SECONDS
from arbutuscleat.wire import Address
from arbutuscleat.wire.gen_jobs.ttypes import WaveRecord
from tests.fakes import ManualClock
from tests.fakes.jobs import JobTableHarness
from tests.fakes.machines import FakeExecutor

LIMITS = ExecutionLimits()
MACHINE = "m-1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
WRITE = "write"
"""The step that the kernel's send is a part of; nothing can be checked after it."""


class Steps(ManualClock):
    """Counts steps; the process is suspended before the step number `suspend_at`."""

    def __init__(self, suspend_at=None):
        super().__init__()
        self.suspend_at = suspend_at
        self.names = []

    def step(self, name):
        if len(self.names) == self.suspend_at:
            self.advance(2 * LIMITS.machine_lease)
        self.names.append(name)

    def monotonic(self):
        self.step("clock")
        return super().monotonic()


class ScriptedSocket:
    """An open connection to a provider that carries out each order at once."""

    def __init__(self, steps, orders):
        self.steps = steps
        self.orders = orders
        self.request = b""

    def sendall(self, data):
        self.steps.step(WRITE)
        self.request += data
        head, found, body = self.request.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        if found and len(body) == length:
            self.request = b""
            self.orders.append(self.steps.elapsed)

    def makefile(self, mode, buffering=-1):
        self.steps.step("read")
        return io.BytesIO(ANSWER)

    def setsockopt(self, *option):
        self.steps.step("option")

    def settimeout(self, timeout):
        self.steps.step("timeout")

    def close(self):
        pass


class Replica:
    """A leader whose timers do not run, so it never notices that it was suspended."""

    def __init__(self, steps):
        self.steps = steps

    def leads(self):
        self.steps.step("leads")
        return True

    def term(self):
        self.steps.step("term")
        return 1

    def led_since(self):
        return 0.0


class Executor(FakeExecutor):
    """Has drained every worker; records when a holder of machines is proposed."""

    def __init__(self, harness, steps):
        super().__init__(harness)
        self.steps = steps
        self.held_at = None

    def propose(self, command):
        if command.order_machines is not None:
            self.held_at = self.steps.elapsed
        self.steps.step("commit")
        accepted = super().propose(command)
        self.steps.step("committed")
        return accepted


class SuspendedLeaderTest(TestCase):
    def run_upkeep(self, suspend_at=None, idle_connections=0):
        """Return the steps and the age of the holder's entry at each order."""
        steps = Steps()
        harness = JobTableHarness()
        harness.apply(
            wave=WaveRecord(
                wave=1,
                machines=[MACHINE],
                cap=1,
                due_at_ms=1_000_000_000_000,
                ordered=[],
                finished=[],
            )
        )
        executor = Executor(harness, steps)
        provider = BerthlineProvider(Address("127.0.0.1", 1), "a")
        provider.machines = lambda: [MachineState(MACHINE, "karachi", True, "")]
        controller = MachineController(
            Replica(steps), harness.table, executor, provider, steps, LIMITS, "a"
        )
        self.addCleanup(controller._order_pool.shutdown)
        orders = []

        def connect(*args, **kwargs):
            steps.step("connect")
            return ScriptedSocket(steps, orders)

        def is_readable(*args):
            steps.step("idle")
            return False

        with (
            mock.patch("socket.create_connection", connect),
            mock.patch("berthline.http_calls.wait_for_read", is_readable),
        ):
            for _ in range(idle_connections):
                provider.upkeep("m-0", 1, 1, lambda: True)
            orders.clear()
            steps.names.clear()
            steps.suspend_at = suspend_at
            for _ in range(2):
                controller.reconcile_once()
        ages = [ordered_at - executor.held_at for ordered_at in orders]
        return steps.names, ages

    def unsafe_steps(self, idle_connections):
        """Return the steps before which a suspension lets an outdated order out."""
        names, ages = self.run_upkeep(idle_connections=idle_connections)
        self.assertEqual([0.0], ages)
        unsafe = []
        for number, name in enumerate(names):
            _, ages = self.run_upkeep(number, idle_connections)
            if any(age > ORDER_SECONDS for age in ages):
                unsafe.append(f"{number} {name}")
        return [step.split()[1] for step in unsafe], unsafe

    def test_only_between_the_last_check_and_the_write_of_a_new_connection(self):
        """Guards against orders of a former leader, where no fence is checked."""
        unsafe, numbered = self.unsafe_steps(idle_connections=0)
        self.assertEqual([WRITE], unsafe, numbered)

    def test_only_between_the_last_check_and_the_write_of_an_idle_connection(self):
        """Guards against orders of a former leader, where no fence is checked."""
        unsafe, numbered = self.unsafe_steps(idle_connections=1)
        self.assertEqual([WRITE], unsafe, numbered)
