"""A replica and an executor for the machine controller, without threads."""

from arbutuscleat.scheduling import WorkerView, service_demands


class FakeReplica:
    """A replica whose leadership is set by the test."""

    def __init__(self, clock):
        self.clock = clock
        self.is_leader = False
        self.current_term = 1
        self.since = 0.0

    def lead(self):
        self.is_leader = True
        self.current_term += 1
        self.since = self.clock.monotonic()

    def leads(self):
        return self.is_leader

    def term(self):
        return self.current_term

    def led_since(self):
        return self.since


class FakeExecutor:
    """Plans nothing; applies proposals directly to the table."""

    def __init__(self, harness):
        self.harness = harness
        self.plan_count = 0
        self.unusable = set()
        self.draining = set()

    def worker_views(self):
        workers = self.harness.table.workers
        return {
            name: WorkerView(record, name not in self.unusable, 0)
            for name, record in workers.items()
        }

    def set_draining(self, worker_ids):
        self.plan_count += 2
        self.draining = worker_ids

    def demands(self, names):
        return service_demands(self.harness.table, names, 1_000)

    def propose(self, command):
        return self.harness.propose(command)
