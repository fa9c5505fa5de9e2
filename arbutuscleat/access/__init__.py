"""Access: how a call finds the control instance that leads, and what it does there."""

from .admission_controller import AdmissionController
from .job_service import JobService
from .joiner import Joiner
from .leader_client import CallOutcome, LeaderClient

__all__ = ["AdmissionController", "LeaderClient", "JobService", "Joiner", "CallOutcome"]
