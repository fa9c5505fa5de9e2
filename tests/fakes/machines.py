"""A replica and an executor for the machine controller, without threads."""

from arbutuscleat.scheduling import WaitReason, WorkerView, service_demands


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
        table = self.harness.table
        views = {}
        for name, record in table.workers.items():
            usable = name not in self.unusable | self.draining and not record.draining
            views[name] = view = WorkerView(record, usable, 0)
            if record.draining:
                view.unusable_because = WaitReason.LEAVING
            elif name in self.draining - self.unusable:
                view.unusable_because = WaitReason.DRAINING
            for key in table.runs.get(view.incarnation, ()):
                view.reserve(table.jobs[key.job_id].steps[key.step], key[:3])
        return views

    def set_draining(self, worker_ids):
        self.plan_count += 2
        self.draining = worker_ids

    def demands(self, names, workers):
        return service_demands(self.harness.table, names, 1_000, workers)

    def movable_tasks(self, worker_id):
        return []

    def propose(self, command):
        return self.harness.propose(command)
