"""Scheduling decisions on jobs, workers and machines, without network or threads."""

from .admission import (
    FleetCapacity,
    Rejection,
    RejectionCause,
    backlog_cpu_ms,
    check_memory,
    check_size,
    check_wait,
)
from .arrival_meter import ArrivalMeter
from .copies import Copies
from .copy_cases import CopyReason
from .demand import job_demand, movable_tasks, service_demands
from .demand_history import DemandHistory
from .objective import critical_path_ms, objective_at_ms
from .planner import Plan, Planner
from .pool_planner import Move, PoolMachine, PoolPlan, PoolPlanner, idle_worker
from .retry_schedule import Opening, RetrySchedule
from .service_demand import Demand, Requirement, has_shortage
from .session_balance import balance_sessions
from .step_waits import StepWait, StepWaits
from .team_admission import TeamRejection, check_team_wait
from .team_backlog import TeamBacklog
from .team_rates import RateLimit, TeamRates
from .team_usage import TeamUsage
from .unplaced_tasks import UnplacedTasks
from .wait_reason import WaitReason
from .wave_planner import WaveMachine, choose_machines
from .work import Work, remaining_work, work_of
from .worker_usage import UsageCache, WorkerUsage
from .worker_view import WorkerView

__all__ = [
    "ArrivalMeter",
    "Copies",
    "CopyReason",
    "Demand",
    "DemandHistory",
    "FleetCapacity",
    "Move",
    "Opening",
    "Plan",
    "Planner",
    "PoolMachine",
    "PoolPlan",
    "PoolPlanner",
    "RateLimit",
    "Rejection",
    "RejectionCause",
    "Requirement",
    "RetrySchedule",
    "StepWait",
    "StepWaits",
    "TeamBacklog",
    "TeamRates",
    "TeamRejection",
    "TeamUsage",
    "UnplacedTasks",
    "UsageCache",
    "WaitReason",
    "WaveMachine",
    "Work",
    "WorkerUsage",
    "WorkerView",
    "backlog_cpu_ms",
    "balance_sessions",
    "check_memory",
    "check_size",
    "check_team_wait",
    "check_wait",
    "choose_machines",
    "critical_path_ms",
    "has_shortage",
    "idle_worker",
    "job_demand",
    "movable_tasks",
    "objective_at_ms",
    "remaining_work",
    "service_demands",
    "work_of",
]
