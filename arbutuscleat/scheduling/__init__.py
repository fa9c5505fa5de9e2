"""Scheduling decisions on jobs, workers and machines, without network or threads."""

from .admission import FleetCapacity, Rejection, backlog_cpu_ms, check_size, check_wait
from .copies import Copies
from .copy_cases import CopyReason
from .demand import job_demand, movable_tasks, service_demands
from .demand_history import DemandHistory
from .objective import critical_path_ms, objective_at_ms
from .planner import Plan, Planner
from .pool_planner import Move, PoolMachine, PoolPlan, PoolPlanner, idle_worker
from .service_demand import Demand, Requirement, has_shortage
from .session_balance import balance_sessions
from .step_waits import StepWait, StepWaits
from .unplaced_tasks import UnplacedTasks
from .wait_reason import WaitReason
from .wave_planner import WaveMachine, choose_machines
from .worker_usage import UsageCache, WorkerUsage
from .worker_view import WorkerView

__all__ = [
    "Copies",
    "CopyReason",
    "Demand",
    "DemandHistory",
    "FleetCapacity",
    "Move",
    "Plan",
    "Planner",
    "PoolMachine",
    "PoolPlan",
    "PoolPlanner",
    "Rejection",
    "Requirement",
    "StepWait",
    "StepWaits",
    "UnplacedTasks",
    "UsageCache",
    "WaitReason",
    "WaveMachine",
    "WorkerUsage",
    "WorkerView",
    "backlog_cpu_ms",
    "balance_sessions",
    "check_size",
    "check_wait",
    "choose_machines",
    "critical_path_ms",
    "has_shortage",
    "idle_worker",
    "job_demand",
    "movable_tasks",
    "objective_at_ms",
    "service_demands",
]
