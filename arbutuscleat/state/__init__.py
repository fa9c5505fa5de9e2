"""The replicated state: configuration, change results and request claims.

Commands reach the state through the replicated log.  Applying the same commands
in the same order gives the same state on every instance.
"""

from .change_table import ChangeRefusal, ChangeTable
from .claim_table import ClaimState, ClaimTable
from .configuration_source import ConfigurationSource
from .control_state_machine import ControlStateMachine
from .fleet_configuration import FleetConfiguration
from .label_set import LabelKind, LabelSet, validate_label_set
from .member import Member
from .pool_matches import PoolMatches
from .records import (
    instance_from,
    instance_record,
    label_set_from,
    labels_record,
    member_from,
    member_record,
    pool_from,
    pool_record,
    selector_record,
    selector_rule_from,
)

__all__ = [
    "ChangeRefusal",
    "ChangeTable",
    "ClaimState",
    "ClaimTable",
    "ConfigurationSource",
    "ControlStateMachine",
    "FleetConfiguration",
    "LabelKind",
    "LabelSet",
    "Member",
    "PoolMatches",
    "instance_from",
    "instance_record",
    "label_set_from",
    "labels_record",
    "member_from",
    "member_record",
    "pool_from",
    "pool_record",
    "selector_record",
    "selector_rule_from",
    "validate_label_set",
]
