import tracemalloc

import pytest

from arbutuscleat.jobs import JobTable, job_bytes
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand
from tests.fakes.jobs import job, step

JOBS = 20
CASES = {
    "one task": dict(steps=[step()]),
    "many steps": dict(steps=[step() for _ in range(700)]),
    "many tasks": dict(steps=[step(5_000)]),
    "many occurrences": dict(steps=[step()], repeat_count=2_000),
    "many dependencies": dict(steps=[step(), step(after=[0] * 20_000)]),
    "long texts": dict(steps=[step(image="x" * 1_000) for _ in range(60)]),
    "long texts of another script": dict(
        steps=[step(image="\u0431" * 1_000) for _ in range(60)]
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_the_estimate_covers_what_the_table_and_a_snapshot_take(name):
    payloads = [
        encode(JobCommand(accept=job(f"{number:016x}", **CASES[name])))
        for number in range(JOBS)
    ]
    tracemalloc.start()
    try:
        table = JobTable(lambda content: None)
        for number, payload in enumerate(payloads):
            table.apply(number + 1, payload)
        for item in table.jobs.values():
            for occurrence in range(item.occurrence_count()):
                item.tasks(occurrence, 0)
        image = table.image()
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(table.jobs) == JOBS
    assert taken <= table.held_bytes <= 3 * taken
    assert table.held_bytes == sum(
        job_bytes(item.record) for item in table.jobs.values()
    )
    restored = JobTable(lambda content: None)
    restored.restore(image)
    assert (restored.held_bytes, restored.image()) == (table.held_bytes, image)
