"""The machine keeper: the leader's orders for machines.

Upkeep of waves and moves between pools end what runs on a machine, so the keeper
has the executor start nothing new on it, waits until it is empty, and orders then.
Orders for one machine by two control instances are kept apart by `MachineLeases`.
"""

import threading

from absl import logging

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock
from arbutuscleat.jobs import JobTable, Wave
from arbutuscleat.scheduling import (
    Demand,
    DemandHistory,
    Fleet,
    Move,
    PoolMachine,
    PoolPlanner,
    WaveMachine,
    choose_machines,
    is_short,
)
from arbutuscleat.wire.gen_jobs.ttypes import (
    AdvanceWave,
    JobCommand,
    OrderMachines,
)

from .executor import Executor
from .limits import ExecutionLimits
from .machine_leases import MachineLeases
from .machine_watch import MachineWatch
from .provider import MachineOrder, MachineState, Provider
from .worker_emptier import WorkerEmptier

TURN_SECONDS = 0.25
"""Between two looks at the machines."""


class MachineKeeper:
    """Carries out waves and moves while this process leads.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        Its state.
    executor : Executor
        Starts nothing on machines that are being emptied.
    provider : Provider
        Takes the orders.
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Times that leases go by.
    holder : str
        Name under which this process gives orders.
    """

    def __init__(
        self,
        replica: Replica,
        table: JobTable,
        executor: Executor,
        provider: Provider,
        clock: Clock,
        limits: ExecutionLimits,
        holder: str,
    ):
        self._replica = replica
        self._table = table
        self._executor = executor
        self._provider = provider
        self._clock = clock
        self._leases = MachineLeases(holder, clock, limits.machine_lease)
        self._watch = MachineWatch(table, clock, limits.upkeep)
        self._pools = PoolPlanner()
        self._stopping = threading.Event()
        self._term = -1
        self._emptier = WorkerEmptier(table, executor, self._watch)
        self._history = DemandHistory()
        self._moving: dict[str, str] = {}
        """Machines being emptied for a move, by the service they go to."""
        self.fleet: Fleet | None = None
        """What all machines have; None before the first list."""

        self._thread = threading.Thread(target=self._run, name="machines", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._clock.sleep(self._stopping, TURN_SECONDS):
            self.look_once()

    def look_once(self) -> None:
        """Look at the machines and order what is due: one step of the task."""
        with self._table.lock:
            self._leases.watch(self._table.machine_holders)
        if not self._replica.leads():
            self._forget()
            return
        if self._replica.term() != self._term:
            self._forget()
            self._term = self._replica.term()
            self._note_former_orders()
        machines = self._provider.machines()
        if machines is not None:
            self._turn(machines)

    def _may_order(self, machine: str) -> bool:
        """Return whether a machine may be ordered at this very moment."""
        return self._leases.may_order(machine) and self._replica.leads()

    def _log_orders(self, machines: list[str]) -> list[str]:
        """Write this process down as holder; return the machines it holds then."""
        since = self._replica.led_since()
        held = [name for name in machines if self._leases.may_hold(name, since)]
        if not held:
            return []
        asked_at = self._clock.monotonic()
        command = OrderMachines(machines=held, holder=self._leases.holder)
        if not self._executor.propose(JobCommand(order_machines=command)):
            return []
        self._leases.note_logged(held, asked_at)
        return held

    def _forget(self) -> None:
        self._leases.forget()
        self._watch.forget()
        self._emptier.forget()
        self._moving = {}
        self._history.forget()

    def _note_former_orders(self) -> None:
        """Take upkeep that a former leader may just have ordered as under way."""
        with self._table.lock:
            for wave in self._table.waves.values():
                for machine in wave.under_way():
                    self._watch.note_upkeep(machine)

    def _turn(self, machines: list[MachineState]) -> None:
        by_name = {item.machine: item for item in machines}
        self._watch.look(by_name)
        self.fleet = _fleet(machines)
        wanted: set[str] = set()
        with self._table.lock:
            waves = [w for w in self._table.waves.values() if not w.is_complete()]
        standby, demands = self._demands()
        machine_cpu = 0 if self.fleet is None else self.fleet.most_cpu
        short = is_short(demands.values(), machine_cpu)
        for wave in waves:
            wanted |= self._plan_wave(wave, by_name, short)
        wanted |= self._plan_moves(machines, wanted, waves, standby, demands)
        self._emptier.empty({by_name[m].worker_id for m in wanted if m in by_name})
        for wave in waves:
            self._order_upkeep(wave, by_name, wanted)
        self._order_moves(by_name)

    # ---- waves ----

    def _plan_wave(
        self, wave: Wave, by_name: dict[str, MachineState], short: bool
    ) -> set[str]:
        """Return the machines of a wave that are to be emptied."""
        left = []
        since = self._replica.led_since()
        for machine in wave.machines:
            state = by_name.get(machine)
            if state is None and machine not in wave.finished:
                self._advance(wave, machine, finished=True)
                logging.info("wave %d: %s no longer exists", wave.number, machine)
            if state is None or machine in wave.finished:
                continue
            load = self._watch.cpu_in_use(state.worker_id)
            left.append(
                WaveMachine(
                    machine=machine,
                    is_up=state.is_up and self._leases.may_hold(machine, since),
                    is_empty=load == 0,
                    is_closing=self._emptier.is_closing(state.worker_id),
                    load=load,
                )
            )
        away = sum(self._watch.is_away(machine) for machine in wave.machines)
        seconds_left = (wave.due_at_ms - self._clock.now_ms()) / 1000.0
        return set(choose_machines(left, wave.cap, away, seconds_left, short))

    def _order_upkeep(
        self, wave: Wave, by_name: dict[str, MachineState], wanted: set[str]
    ) -> None:
        ready = []
        for machine in wave.machines:
            if machine not in wanted or machine in wave.finished:
                continue
            state = by_name[machine]
            if not state.is_up:
                continue
            if self._emptier.is_emptied(state.worker_id):
                ready.append(machine)
            else:
                self._move_lasting(state.worker_id)
        away = sum(self._watch.is_away(other) for other in wave.machines)
        for machine in self._log_orders(ready[: max(0, wave.cap - away)]):
            state = by_name[machine]
            if machine not in wave.ordered and not self._advance(wave, machine, False):
                continue
            if not self._may_order(machine):
                return
            outcome = self._provider.upkeep(machine, wave.number, self._term)
            if outcome is MachineOrder.DONE:
                self._watch.note_upkeep(machine)
                self._emptier.drop(state.worker_id)
                self._advance(wave, machine, finished=True)
            elif outcome is MachineOrder.UNKNOWN:
                self._watch.note_upkeep(machine)

    def _advance(self, wave: Wave, machine: str, finished: bool) -> bool:
        command = AdvanceWave(wave=wave.number, machine=machine, finished=finished)
        return self._executor.propose(JobCommand(advance_wave=command))

    def _move_lasting(self, worker_id: str) -> None:
        """Have lasting tasks leave a worker, as far as their steps allow it."""
        for key, number in self._executor.movable_tasks(worker_id):
            self._executor.order_stop(worker_id, key, number)

    # ---- moves ----

    def _demands(self) -> tuple[str, dict[str, Demand]]:
        """Return the standby service, empty if none, and what others are asked for."""
        with self._table.lock:
            config = self._table.config
            services = [] if config is None else list(config.services.values())
        standby = next((item.name for item in services if item.standby), "")
        serving = [item.name for item in services if not item.standby]
        return standby, self._executor.demands(serving)

    def _plan_moves(
        self,
        machines: list[MachineState],
        wanted: set[str],
        waves: list[Wave],
        standby: str,
        demands: dict[str, Demand],
    ) -> set[str]:
        in_wave = {machine for wave in waves for machine in wave.under_way()}
        pool = [
            PoolMachine(
                machine=item.machine,
                service_name=self._moving.get(item.machine, item.service_name),
                kind=item.kind,
                cpu=item.cpu,
                is_up=item.is_up and item.machine not in self._moving,
                idle_seconds=self._watch.idle_seconds(item.machine),
                in_wave=item.machine in in_wave
                or item.machine in wanted
                or self._watch.is_away(item.machine),
            )
            for item in machines
        ]
        for move in self._pools.plan(pool, demands, standby, self._may_park()):
            self._moving[move.machine] = move.service_name
            self._log_move(move, demands)
        return set(self._moving)

    def _may_park(self) -> bool:
        """Return whether demand has been seen for long enough to let machines go."""
        now = self._clock.monotonic()
        with self._table.lock:
            has_turns = any(
                not job.has_long_running_step() for job in self._table.active.values()
            )
        self._history.note(now, has_turns)
        return self._history.is_settled(now)

    def _log_move(self, move: Move, demands: dict[str, Demand]) -> None:
        demand = demands.get(move.service_name, Demand())
        logging.info(
            "machine %s is to move to %s: %d running, %d waiting there",
            move.machine,
            move.service_name,
            demand.running_cpu,
            demand.waiting_cpu,
        )

    def _order_moves(self, by_name: dict[str, MachineState]) -> None:
        ready = []
        for machine, service_name in list(self._moving.items()):
            state = by_name.get(machine)
            if state is None or state.service_name == service_name:
                del self._moving[machine]
            elif not state.is_up:
                continue
            elif self._watch.cpu_in_use(state.worker_id):
                del self._moving[machine]  # Something has started after all.
            elif self._emptier.is_emptied(state.worker_id):
                ready.append(machine)
        for machine in self._log_orders(ready):
            if not self._may_order(machine):
                return
            service_name = self._moving[machine]
            outcome = self._provider.move(machine, service_name, self._term)
            if outcome is MachineOrder.DONE:
                self._emptier.drop(by_name[machine].worker_id)
            elif outcome in (MachineOrder.REFUSED, MachineOrder.BUSY):
                del self._moving[machine]


def _fleet(machines: list[MachineState]) -> Fleet | None:
    if not machines:
        return None
    return Fleet(
        cpu=sum(item.cpu for item in machines),
        most_cpu=max(item.cpu for item in machines),
        most_mem_mb=max(item.mem_mb for item in machines),
        most_gpu=max(item.gpu for item in machines),
    )
