"""Machine controller: the leader's reconcile loop for maintenance and pool moves.

Upkeep and moves between pools end every run on a machine. The controller therefore
drains a machine before it orders either of them: the executor schedules no new runs
there, and the order is sent once the machine is idle. `MachineLeases` separates the
orders of two control instances for one machine.

The orders of one iteration are sent concurrently. In a load peak, the time to fill a
pool is then bounded by the provider, not by one round trip for each machine.
"""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from absl import logging

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock, run_loop, run_step
from arbutuscleat.jobs import JobTable, Wave
from arbutuscleat.scheduling import (
    Demand,
    DemandHistory,
    FleetCapacity,
    Move,
    PoolMachine,
    PoolPlan,
    PoolPlanner,
    WaitReason,
    WaveMachine,
    WorkerView,
    choose_machines,
    has_shortage,
    idle_worker,
)
from arbutuscleat.wire.gen_jobs.ttypes import (
    AdvanceWave,
    JobCommand,
    OrderMachines,
)

from .executor import Executor
from .leader_load import LeaderLoad
from .limits import ExecutionLimits
from .machine_absences import MachineAbsences
from .machine_leases import MachineLeases
from .machine_moves import MachineMoves
from .machine_pauses import (
    ORDER_TIMEOUT_SECONDS,
    PAUSE_SECONDS,
    REFUSED_PAUSE_SECONDS,
    MachinePauses,
)
from .machine_tracker import MachineTracker
from .machine_waits import MachineWaits
from .provider import MachineOrderOutcome, MachineState, Provider
from .worker_drainer import WorkerDrainer

POLL_SECONDS = 0.25
"""Interval between two iterations of the reconcile loop."""

STALE_DRAIN_SECONDS = 2.0
"""Time without a list of the machines after which all drains end. A single call to the
provider may take 1 s."""

BLOCKED_DRAIN_SECONDS = 15.0
"""How long a worker is drained for a wave while nothing but long-running tasks is left
on it and none of them can be moved. An ordered stop may take as long to have effect."""

BLOCKED_PAUSE_SECONDS = 10.0
"""Pause of the machine of such a worker, in which it gets runs and other machines of
the wave are drained."""

TEMPORARY_REASONS = (WaitReason.UNRESPONSIVE, WaitReason.PAUSED)
"""Why a worker may get no runs, unless its machine or its tasks are to leave."""

ORDER_THREADS = 8
"""Concurrent calls to the provider. At some 15 ms each they are faster than the rate
of orders that providers accept, a few hundred a second."""


class MachineController:
    """Carries out maintenance waves and pool moves while this process leads.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    table : JobTable
        The replicated job table.
    executor : Executor
        Schedules no runs on machines that are being drained.
    provider : Provider
        Lists the machines and executes the orders.
    clock : Clock
        Source of time.
    limits : ExecutionLimits
        Lease durations and timeouts.
    holder : str
        Name under which this process sends orders.
    load : LeaderLoad, optional
        Records the duration of an iteration and of a move.
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
        load: LeaderLoad | None = None,
    ):
        self._load = LeaderLoad(clock) if load is None else load
        self._replica = replica
        self._table = table
        self._executor = executor
        self._provider = provider
        self._clock = clock
        self._leases = MachineLeases(holder, clock, limits.machine_lease)
        self._absences = MachineAbsences()
        self._tracker = MachineTracker(table, clock, limits.upkeep, self._absences)
        self._pool_planner = PoolPlanner()
        self._stopping = threading.Event()
        self._term = -1
        self._drainer = WorkerDrainer(table, executor, self._tracker, clock)
        self._demand_history = DemandHistory()
        self._pauses = MachinePauses(clock)
        self._moves = MachineMoves(clock, self._tracker, self._pauses)
        self._ready_since: dict[str, float] = {}
        """Monotonic time since which each drained machine could have its upkeep."""

        self._blocked_since: dict[str, float] = {}
        """Monotonic time since which nothing can leave each draining machine."""

        self._reconciled_at = clock.monotonic()
        self.waits = MachineWaits()
        self.fleet: FleetCapacity | None = None
        """Capacity of all machines; None before the first list."""

        self._short_services: frozenset[str] | None = None
        """Services without enough machines, by the latest plan; None before one."""

        self._order_pool = ThreadPoolExecutor(ORDER_THREADS, "machine-orders")
        self._thread = threading.Thread(target=self._run, name="machines", daemon=True)

    def start(self) -> None:
        """Start the reconcile loop."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the reconcile loop."""
        self._stopping.set()

    def can_grow(self, service_name: str) -> bool:
        """Return whether a service can get more machines, by the latest plan."""
        short = self._short_services
        return short is not None and service_name not in short

    def _run(self) -> None:
        run_loop(self.run_once, self._stopping, self._clock, POLL_SECONDS)
        self._order_pool.shutdown(wait=False)

    def run_once(self) -> None:
        """Run one iteration; if it fails, the next one begins with a new list."""
        if not run_step(self.reconcile_once):
            self._end_stale_drains()

    def reconcile_once(self) -> None:
        """Run one iteration: list the machines and send the orders that are due."""
        # Asked first: a replica that leads has applied all entries of former holders.
        leads = self._replica.leads()
        with self._table.lock:
            self._leases.observe(self._table.machine_holders)
        if not leads:
            self._reset()
            return
        if self._replica.term() != self._term:
            self._reset()
            self._term = self._replica.term()
            self._restore_upkeep()
        with self._load.timed("list of machines"):
            machines = self._provider.machines()
        if not machines:  # An empty list is no knowledge either.
            self._end_stale_drains()
            return
        with self._load.timed("machine iteration"):
            self._reconcile(machines)
        self._reconciled_at = self._clock.monotonic()

    def _end_stale_drains(self) -> None:
        """End all drains if no iteration has succeeded for some time.

        Nothing is ordered meanwhile, so the drained workers would be idle for nothing.
        """
        seconds = self._clock.monotonic() - self._reconciled_at
        if seconds < STALE_DRAIN_SECONDS:
            return
        if self._drainer.is_active():
            logging.warning(
                "no complete iteration of the machine controller for %.1f s, "
                "ending all drains",
                seconds,
            )
        self._moves.reset()
        self._ready_since = {}
        self._blocked_since = {}
        self._drainer.reset()

    def _may_order(self, machine: str) -> bool:
        """Return whether an order for a machine may be sent at this moment.

        The age of the lease is checked last, because the replica's answers may wait
        for its lock.
        """
        return (
            self._replica.leads()
            and self._replica.term() == self._term
            and self._leases.may_order(machine)
        )

    def _acquire(self, machines: list[str]) -> list[str]:
        """Commit this process as holder of machines; return those it now holds."""
        since = self._replica.led_since()
        held = [name for name in machines if self._leases.may_hold(name, since)]
        if not held:
            return []
        asked_at = self._clock.monotonic()
        command = OrderMachines(machines=held, holder=self._leases.holder)
        if not self._executor.propose(JobCommand(order_machines=command)):
            return []
        self._leases.record_logged(held, asked_at)
        return held

    def _reset(self) -> None:
        self._term = -1  # The same term may go on, with upkeep still under way.
        self._leases.reset()
        self._absences.reset()
        self._tracker.reset()
        self._drainer.reset()
        self._moves.reset()
        self._pauses.reset()
        self._ready_since = {}
        self._blocked_since = {}
        self.waits.reset()
        self._demand_history.reset()
        self._short_services = None

    def _restore_upkeep(self) -> None:
        """Treat upkeep that a former leader may have ordered as under way."""
        with self._table.lock:
            for wave in self._table.waves.values():
                for machine in wave.under_way():
                    self._tracker.record_upkeep(machine)

    def _reconcile(self, machines: list[MachineState]) -> None:
        by_name = {item.machine: item for item in machines}
        standby, serving = self._services()
        views = self._executor.worker_views()
        with self._table.lock:
            waves = [w for w in self._table.waves.values() if not w.is_complete()]
        expected = {machine for wave in waves for machine in wave.unfinished()}
        self._absences.observe(expected | self._tracker.under_upkeep(), by_name)
        self._tracker.update(by_name, views, standby)
        self._moves.update(by_name)
        self.fleet = _fleet_capacity(machines)
        in_wave: set[str] = set()
        demands = self._executor.demands(serving, self._workers(machines, views))
        shortage = self.fleet is not None and has_shortage(demands.values(), self.fleet)
        for wave in waves:
            in_wave |= self._plan_wave(wave, by_name, shortage)
        plan = self._plan_moves(machines, in_wave, waves, standby, demands)
        self._short_services = plan.short
        in_wave -= self._needed_machines(plan, in_wave, by_name, views)
        for times in (self._ready_since, self._blocked_since):
            for machine in times.keys() - in_wave:
                del times[machine]
        to_drain = in_wave | self._moves.machines()
        worker_ids = {by_name[m].worker_id for m in to_drain if m in by_name}
        self._drainer.drain(worker_ids - {""})
        for wave in waves:
            self._order_upkeep(wave, by_name, in_wave)
        self._order_moves(by_name)
        self.waits.observe(
            plan.unmet,
            self._moves.moves(),
            [
                item.service_name
                for item in machines
                if not self._tracker.is_in_service(item.machine)
            ],
            self._drainer.drain_seconds(),
            self._tracker.upkeep_seconds(),
            self._clock.monotonic(),
        )

    # ---- waves ----

    def _plan_wave(
        self, wave: Wave, by_name: dict[str, MachineState], shortage: bool
    ) -> set[str]:
        """Return the machines of a wave that should be drained now."""
        remaining = []
        since = self._replica.led_since()
        for machine in wave.machines:
            state = by_name.get(machine)
            if machine not in wave.finished and self._absences.is_gone(machine):
                self._advance(wave, machine, finished=True)
                logging.info(
                    "wave %d: machine %s no longer exists, marking it finished",
                    wave.number,
                    machine,
                )
            if state is None or machine in wave.finished:
                continue
            load = self._tracker.cpu_in_use(state.worker_id)
            remaining.append(
                WaveMachine(
                    machine=machine,
                    is_up=state.is_up
                    and self._leases.may_hold(machine, since)
                    and self._moves.may_plan(machine),
                    is_empty=load == 0,
                    is_draining=self._drainer.is_draining(state.worker_id),
                    load=load,
                )
            )
        unavailable = sum(
            self._tracker.is_under_upkeep(machine) for machine in wave.machines
        )
        seconds_left = (wave.due_at_ms - self._clock.now_ms()) / 1000.0
        return set(
            choose_machines(remaining, wave.cap, unavailable, seconds_left, shortage)
        )

    def _needed_machines(
        self,
        plan: PoolPlan,
        in_wave: set[str],
        by_name: dict[str, MachineState],
        views: dict[str, WorkerView],
    ) -> set[str]:
        """Return the draining machines of a wave that long-running tasks need now.

        These tasks fit nowhere else, and the drain might not end: what runs on the
        machine may wait for the same room.
        """
        found: set[str] = set()
        for service_name, tasks in plan.unmet:
            count = tasks.count if tasks.step.long_running else 0
            for machine in sorted(in_wave):
                state = by_name[machine]
                view = views.get(state.worker_id)
                if state.service_name != service_name or view is None:
                    continue
                if not view.usable and view.unusable_because is WaitReason.DRAINING:
                    view.usable = True
                taken = tasks.place_on(view, count)
                if taken and machine not in found:
                    found.add(machine)
                    self._pause(machine, "long-running tasks need it", PAUSE_SECONDS)
                count -= taken
        return found

    def _order_upkeep(
        self, wave: Wave, by_name: dict[str, MachineState], in_wave: set[str]
    ) -> None:
        ready = []
        for machine in wave.machines:
            if machine not in in_wave or machine in wave.finished:
                continue
            state = by_name.get(machine)
            if state is None or not state.is_up:
                continue
            if self._drainer.is_drained(state.worker_id):
                self._blocked_since.pop(machine, None)
                if self._is_ready_in_time(machine):
                    ready.append(machine)
            else:
                self._ready_since.pop(machine, None)
                self._move_long_running(machine, state.worker_id)
        unavailable = sum(
            self._tracker.is_under_upkeep(other) for other in wave.machines
        )
        held = self._acquire(ready[: max(0, wave.cap - unavailable)])

        def order(machine: str) -> MachineOrderOutcome | None:
            if machine not in wave.ordered and not self._advance(wave, machine, False):
                return None
            outcome = self._provider.upkeep(
                machine, wave.number, self._term, lambda: self._may_order(machine)
            )
            if outcome is MachineOrderOutcome.DONE:
                self._drainer.remove_worker(by_name[machine].worker_id)
                self._advance(wave, machine, finished=True)
            return outcome

        for machine, outcome in self._send_orders(order, held):
            if outcome in (MachineOrderOutcome.DONE, MachineOrderOutcome.UNKNOWN):
                self._tracker.record_upkeep(machine)
            if outcome is MachineOrderOutcome.DONE:
                self._ready_since.pop(machine, None)
            elif outcome is MachineOrderOutcome.REFUSED:
                self._pause(machine, "its upkeep is refused", REFUSED_PAUSE_SECONDS)

    def _is_ready_in_time(self, machine: str) -> bool:
        """Return whether a drained machine has not been waiting for its order too long.

        Otherwise it has a pause, in which its worker gets runs.
        """
        now = self._clock.monotonic()
        if now - self._ready_since.setdefault(machine, now) < ORDER_TIMEOUT_SECONDS:
            return True
        self._pause(machine, "its upkeep is not ordered in time", PAUSE_SECONDS)
        return False

    def _pause(self, machine: str, reason: str, seconds: float) -> None:
        logging.info(
            "drain of machine %s for a wave ends for %.1f s: %s",
            machine,
            seconds,
            reason,
        )
        self._ready_since.pop(machine, None)
        self._blocked_since.pop(machine, None)
        self._pauses.begin(machine, seconds)

    def _send_orders(
        self,
        order: Callable[[str], MachineOrderOutcome | None],
        machines: Sequence[str],
    ) -> list[tuple[str, MachineOrderOutcome | None]]:
        """Send the orders of some machines concurrently and return their outcomes.

        The outcome is None for an order that was not sent.
        """

        def send(machine: str) -> MachineOrderOutcome | None:
            try:
                return order(machine)
            except Exception:
                logging.exception("the order for machine %s failed", machine)
                return MachineOrderOutcome.UNKNOWN

        outcomes = self._order_pool.map(send, machines)
        return list(zip(machines, outcomes, strict=True))

    def _advance(self, wave: Wave, machine: str, finished: bool) -> bool:
        command = AdvanceWave(wave=wave.number, machine=machine, finished=finished)
        return self._executor.propose(JobCommand(advance_wave=command))

    def _move_long_running(self, machine: str, worker_id: str) -> None:
        """Move long-running tasks off a worker, as far as their steps allow it.

        If none can be moved for some time and nothing else runs there, the machine has
        a pause: its worker would be drained for nothing, and the wave would not go on.
        """
        tasks = self._executor.movable_tasks(worker_id)
        for key, number in tasks:
            self._executor.order_stop(worker_id, key, number)
        if tasks or self._tracker.has_finite_runs(worker_id):
            self._blocked_since.pop(machine, None)
            return
        now = self._clock.monotonic()
        since = self._blocked_since.setdefault(machine, now)
        if now - since >= BLOCKED_DRAIN_SECONDS:
            reason = "its long-running tasks cannot be moved"
            self._pause(machine, reason, BLOCKED_PAUSE_SECONDS)

    # ---- moves ----

    def _services(self) -> tuple[str, list[str]]:
        """Return the standby service, empty if there is none, and the others."""
        with self._table.lock:
            config = self._table.config
            services = [] if config is None else list(config.services.values())
        standby = next((item.name for item in services if item.standby), "")
        return standby, [item.name for item in services if not item.standby]

    def _workers(
        self, machines: list[MachineState], views: dict[str, WorkerView]
    ) -> dict[str, list[WorkerView]]:
        """Return the workers that each service has, or is about to get.

        A worker that is drained is left out, because it gets no more runs. One that has
        just become unusable counts: it is likely to be usable again before another
        machine would be there.
        """
        workers: dict[str, list[WorkerView]] = {}
        for item in machines:
            move = self._moves.get(item.machine)
            view = views.get(item.worker_id)
            if move is None and (
                not self._tracker.is_in_service(item.machine)
                or self._tracker.is_under_upkeep(item.machine)
            ):
                continue
            service = item.service_name if move is None else move.service_name
            if move is not None or view is None:
                capacity = (item.cpu, item.mem_mb, item.gpu)
                view = idle_worker(item.machine, service, capacity, item.labels)
            elif not view.usable and not self._drainer.is_draining(item.worker_id):
                view.usable = view.unusable_because in TEMPORARY_REASONS
            view.max_new_runs = None
            if view.usable:
                workers.setdefault(service, []).append(view)
        return workers

    def _plan_moves(
        self,
        machines: list[MachineState],
        to_drain: set[str],
        waves: list[Wave],
        standby: str,
        demands: dict[str, Demand],
    ) -> PoolPlan:
        """Plan the moves of this iteration; return the plan."""
        in_wave = {machine for wave in waves for machine in wave.under_way()}
        since = self._replica.led_since()
        moves = [self._moves.get(item.machine) for item in machines]
        pool = [
            PoolMachine(
                machine=item.machine,
                service_name=item.service_name if move is None else move.service_name,
                kind=item.kind,
                cpu=item.cpu,
                is_up=item.is_up
                and self._moves.may_plan(item.machine)
                and self._leases.may_hold(item.machine, since),
                idle_seconds=self._tracker.idle_seconds(item.machine),
                in_wave=item.machine in in_wave
                or item.machine in to_drain
                or self._tracker.is_under_upkeep(item.machine),
                mem_mb=item.mem_mb,
                gpu=item.gpu,
                labels=item.labels,
                leaving=item.service_name if self._may_stay(item) else "",
                in_service=move is not None
                or self._tracker.is_in_service(item.machine),
            )
            for item, move in zip(machines, moves, strict=True)
        ]
        plan = self._pool_planner.plan(pool, demands, standby, self._may_park())
        for item in plan.moves:
            if self._moves.is_cancellable(item.machine):
                self._moves.cancel(item.machine)
            else:
                self._moves.plan(item.machine, item.service_name)
                self._log_move(item, demands)
        return plan

    def _may_stay(self, state: MachineState) -> bool:
        """Return whether a planned move can be cancelled to use a machine's worker."""
        return (
            state.is_up
            and self._moves.is_cancellable(state.machine)
            and self._tracker.is_in_service(state.machine)
        )

    def _may_park(self) -> bool:
        """Return whether demand was observed long enough to park idle machines."""
        now = self._clock.monotonic()
        with self._table.lock:
            has_batch_jobs = any(
                not job.has_long_running_step() for job in self._table.active.values()
            )
        self._demand_history.observe(now, has_batch_jobs)
        return self._demand_history.is_settled(now)

    def _log_move(self, move: Move, demands: dict[str, Demand]) -> None:
        demand = demands.get(move.service_name, Demand())
        logging.info(
            "planned move of machine %s to service %s: "
            "CPU demand %d running, %d waiting, in thousandths of a core",
            move.machine,
            move.service_name,
            demand.running_cpu,
            demand.waiting_cpu,
        )

    def _order_moves(self, by_name: dict[str, MachineState]) -> None:
        ready = [
            machine
            for machine in self._moves.machines()
            if by_name[machine].is_up
            and self._drainer.is_drained(by_name[machine].worker_id)
        ]

        def order(machine: str) -> MachineOrderOutcome | None:
            move = self._moves.get(machine)
            if move is None:
                return None
            outcome = self._provider.move(
                machine, move.service_name, self._term, lambda: self._may_order(machine)
            )
            if outcome is MachineOrderOutcome.DONE:
                self._load.observe("move", self._clock.monotonic() - move.planned_at)
                self._drainer.remove_worker(by_name[machine].worker_id)
            return outcome

        for machine, outcome in self._send_orders(order, self._acquire(ready)):
            self._moves.record_outcome(by_name[machine], outcome)


def _fleet_capacity(machines: list[MachineState]) -> FleetCapacity:
    return FleetCapacity(
        cpu=sum(item.cpu for item in machines),
        max_cpu=max(item.cpu for item in machines),
        max_mem_mb=max(item.mem_mb for item in machines),
        max_gpu=max(item.gpu for item in machines),
    )
