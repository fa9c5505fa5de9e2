"""Access to the leading control instance: clients that find it, and its service."""

from .admission_controller import AdmissionController
from .former_members import FormerMembers
from .job_service import JobService
from .joiner import Joiner
from .large_calls import LargeCalls
from .leader_client import CallOutcome, LeaderClient
from .leader_proposer import LeaderProposer
from .session_reporter import SessionReporter

__all__ = [
    "AdmissionController",
    "CallOutcome",
    "FormerMembers",
    "JobService",
    "Joiner",
    "LargeCalls",
    "LeaderClient",
    "LeaderProposer",
    "SessionReporter",
]
