"""Memory of a job in the table of each control instance, by estimate.

It counts all tasks of all occurrences, although the table creates those of an
occurrence on first use. The figures are those of the structures of CPython on a 64-bit
machine, with the job's part of the latest snapshot, which is kept as well.
"""

from arbutuscleat.wire.gen_jobs.ttypes import JobRecord, StepRecord

JOB_BYTES = 4_096
"""A job with its ids, names and indexes."""

STEP_BYTES = 512
DEPENDENCY_BYTES = 12
OCCURRENCE_BYTES = 256
STEP_STATE_BYTES = 128
"""The state of a step in one occurrence, beside those of its tasks."""

TASK_BYTES = 344
MAX_CHARACTER_BYTES = 4
"""Of a text in memory (PEP 393); its copy in the snapshot has as many at most."""


def job_bytes(record: JobRecord) -> int:
    """Return the memory that a job takes, in bytes.

    Parameters
    ----------
    record : JobRecord
        The job, as it is submitted.
    """
    occurrences = max(1, record.repeat_count or 0)
    tasks = sum(step.count for step in record.steps)
    state = OCCURRENCE_BYTES + len(record.steps) * STEP_STATE_BYTES + tasks * TASK_BYTES
    steps = sum(_step_bytes(step) for step in record.steps)
    return JOB_BYTES + text_bytes(record.spec) + steps + occurrences * state


def _step_bytes(step: StepRecord) -> int:
    texts = (step.required_label, step.data_rack, step.image)
    return (
        STEP_BYTES
        + DEPENDENCY_BYTES * len(step.after or ())
        + sum(text_bytes(text) for text in texts)
    )


def text_bytes(text: str | None) -> int:
    """Return the memory of a text and of its copy in the snapshot.

    Records of former versions can be without one.
    """
    if not text:
        return 0
    return len(text) * (2 if text.isascii() else 2 * MAX_CHARACTER_BYTES)
