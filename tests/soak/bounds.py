"""Bounds that the checks apply, in seconds: those of the platform's site rond-hq."""

CALL = 3.0  # that callers wait for an answer
CANCEL = 3.0
CATCH_UP = 4.0
CONFIG_APPLY = 2.0
CONTACT = 3.0  # calm time after which a machine counts as in touch
DRAIN = 2.0
EARLY = 0.25
FINISH = 14.0
GRACE = 6.0
HOLD = 10.0  # longest lease of a run
LOSS_SLACK = 0.2
MAINTENANCE = 2.0
MOVE = 1.5
NOTICE = 4.5
OPERATOR_CALL = 1.0
ORDER_LEASE = 3.0  # in which two holders may not order one machine
ROLLBACK_SLACK = 0.25
STATUS = 120.0
STOP = 0.4
VISIBLE = 3.0

LASTING_RESTART = 6.0  # after its last run, until a long-running task has to run
MAX_WAIT = 3.0  # of work for which there is room twice over
BEFORE_WAIT = 4.0  # calm before such a wait

IN_SETTINGS = {
    "max-hold-ms": int(1000 * HOLD),
    "lease-ms": int(1000 * ORDER_LEASE),
    "maintenance-s": int(MAINTENANCE),
}
