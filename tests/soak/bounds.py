"""Bounds that the checks apply, in seconds: those of the users' sheets for rond-hq."""

CONTACT = 3.0
"""Calm time after which a machine counts as in touch."""

CATCH_UP = 4.0
"""Time for which a machine that is back still counts as lost."""

DRAIN = 2.0
GRACE = 6.0
LOSS_SLACK = 0.2
CONFIG_APPLY = 2.0
ROLLBACK_SLACK = 0.25
CANCEL = 3.0
VISIBLE = 3.0
EARLY = 0.25
FINISH = 14.0
STATUS = 120.0
NOTICE = 4.5
LEASE = 3.0
"""Time within which two holders may not take turns in ordering one machine."""

MOVE = 1.5
MAINTENANCE = 2.0

LASTING_RESTART = 6.0
"""Time after its last run from which a long-running task must not wait any more."""

MAX_WAIT = 3.0
"""Time for which work may wait although there is room for it twice over."""

BEFORE_WAIT = 4.0
"""Calm time that must precede such a wait."""

CALL = 3.0
"""Time that callers wait for an answer."""

OPERATOR_CALL = 1.0
"""Time that operators wait before they try the next node."""

IN_SETTINGS = {
    "max-hold-ms": 10_000,
    "lease-ms": int(1000 * LEASE),
    "maintenance-s": int(MAINTENANCE),
}
