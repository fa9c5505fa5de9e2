"""Views of workers, as the leader makes them for a plan."""

from arbutuscleat.scheduling import UsageCache, WorkerView


def views_of(table):
    """Return a healthy view of each worker, with the capacity left by the runs."""
    views = {}
    for worker_id, record in table.workers.items():
        views[worker_id] = view = WorkerView(record, True, 0)
        UsageCache().usage(table, view.incarnation).take_from(view)
    return views
