"""Access: how a call finds the control instance that leads, and what it does there."""

from .admission_gate import AdmissionGate
from .control_link import ControlLink, LinkOutcome
from .job_service import JobService
from .joiner import Joiner

__all__ = ["AdmissionGate", "ControlLink", "JobService", "Joiner", "LinkOutcome"]
