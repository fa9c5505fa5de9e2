"""The domain model: instances, pools, labels, selectors and refusals.

Most of these are small immutable values with functions that validate them.  The
package also holds what every other package needs: clocks, deadlines and errors.
"""

from .client_limits import ClientLimits
from .clock import Clock, SystemClock
from .deadline import Deadline
from .errors import InvariantError, ValidationError
from .idempotency_key import UNTIMED, key_time_ms
from .instance import Assignment, AssignmentPhase, Instance, InstanceState
from .labels import Labels, is_name, parse_labels, validate_labels
from .loops import FAILURE_PAUSE_SECONDS, run_loop, run_step
from .machine_limits import MachineLimits
from .maintenance import PHASE_TRANSITIONS, Maintenance, MaintenancePhase
from .outcome import Outcome
from .pool import Pool, validate_pool
from .refusal import Refusal, RefusalReason
from .request_tracker import RequestTracker
from .selector import Selector, SelectorSyntaxError, parse_selector, validate_selector
from .selector_rule import SelectorPurpose, SelectorRule, validate_selector_rule

__all__ = [
    "FAILURE_PAUSE_SECONDS",
    "Assignment",
    "AssignmentPhase",
    "ClientLimits",
    "Clock",
    "Deadline",
    "RequestTracker",
    "Instance",
    "InstanceState",
    "InvariantError",
    "Labels",
    "MachineLimits",
    "PHASE_TRANSITIONS",
    "Maintenance",
    "MaintenancePhase",
    "Outcome",
    "Pool",
    "Refusal",
    "RefusalReason",
    "Selector",
    "SelectorPurpose",
    "SelectorRule",
    "SelectorSyntaxError",
    "SystemClock",
    "ValidationError",
    "UNTIMED",
    "is_name",
    "key_time_ms",
    "parse_labels",
    "parse_selector",
    "run_loop",
    "run_step",
    "validate_labels",
    "validate_pool",
    "validate_selector",
    "validate_selector_rule",
]
