"""Emulated endpoints, workers and platforms, and a whole fleet on loopback."""

from .faults import EndpointFault
from .faulty_endpoint import FaultyEndpoint, answer_digest
from .local_fleet import (
    ENDPOINT_TOKEN,
    OPERATOR_TOKEN,
    EndpointPlan,
    FleetPlan,
    LocalFleet,
    LocalProcess,
)
from .ports import LOOPBACK, free_ports

__all__ = [
    "ENDPOINT_TOKEN",
    "LOOPBACK",
    "OPERATOR_TOKEN",
    "EndpointFault",
    "EndpointPlan",
    "FaultyEndpoint",
    "FleetPlan",
    "LocalFleet",
    "LocalProcess",
    "answer_digest",
    "free_ports",
]
