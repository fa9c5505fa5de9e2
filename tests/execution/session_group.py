"""Control instances that share sessions, on one log that each applies for itself."""

from arbutuscleat.execution import (
    LeaderLoad,
    SessionBalancer,
    SessionHolding,
    SessionLease,
    SessionRegistry,
)
from arbutuscleat.execution.session_balancer import MAX_LEADER_WORKERS
from arbutuscleat.jobs import JobTable, SessionHolder
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, RenewRequest
from tests.fakes.jobs import decode_config, worker


class Status:
    """What is read of the status of a replica."""

    def __init__(self, commit_index):
        self.commit_index = commit_index


class Node:
    """One control instance: a replica, its table and what decides on its sessions."""

    def __init__(self, group, name, process):
        self.group = group
        self.name = name
        self.holder = SessionHolder(name, process)
        self.table = JobTable(decode_config)
        self.applied = 0
        self.led_at = float("-inf")
        self.sequence = 0
        self.is_leaving = False
        self.lease = SessionLease(group.clock)
        self.registry = SessionRegistry(group.clock)
        self.holding = SessionHolding(
            self, self.table, group.clock, self.holder, self.lease
        )
        self.balancer = SessionBalancer(
            self,
            self.table,
            self.registry,
            self.holder,
            self.propose_command,
            group.clock,
            LeaderLoad(group.clock),
        )

    # ---- as a replica ----

    def leads(self):
        return self.group.leader is self

    def term(self):
        return self.group.term

    def led_since(self):
        return self.led_at

    def voters(self):
        return [node.name for node in self.group.nodes]

    def status(self):
        return Status(self.applied)

    def apply(self, up_to=None):
        """Apply the entries of the log, all of them or up to an index."""
        last = len(self.group.log) if up_to is None else up_to
        while self.applied < last:
            payload = self.group.log[self.applied]
            self.applied += 1
            self.table.apply(self.applied, payload)

    def propose_command(self, command):
        """Commit a command; renewals that arrive meanwhile are handled before."""
        if not self.leads():
            return False
        for node in self.group.nodes:
            node.renew()
        self.group.uncommitted.append(encode(command))
        if self.group.is_commit_slow:
            return False
        self.group.commit()
        self.apply()
        return True

    # ---- as a holder ----

    def request(self):
        """Return a request for a renewal, and when it was made."""
        self.sequence += 1
        request = RenewRequest(
            holder=self.holder.to_record(),
            sequence=self.sequence,
            applied_index=self.applied,
            leaving=self.is_leaving,
            complete=True,
            conditions=[],
        )
        return request, self.group.clock.monotonic()

    def renew(self):
        request, asked_at = self.request()
        self.group.deliver(self, request, asked_at)

    def permits(self, worker_ids):
        """Return the workers that this process may call at this moment."""
        self.holding.observe_leadership()
        with self.table.lock:
            permits = {name: self.holding.permit(name) for name in worker_ids}
        return {
            name
            for name, permit in permits.items()
            if permit is not None and self.holding.may_order(permit)
        }


class Group:
    """Nodes that share sessions; the test decides who leads and what is delivered."""

    def __init__(self, clock, names="abc", worker_count=MAX_LEADER_WORKERS + 1):
        self.clock = clock
        self.log = []
        self.term = 0
        self.leader = None
        self.process_count = 0
        self.after_step = lambda: None
        self.uncommitted = []
        self.is_commit_slow = False
        self.nodes = [Node(self, name, "p0") for name in names]
        for number in range(worker_count):
            record = worker(f"w{number}", host=f"10.0.0.{number}")
            self.log.append(encode(JobCommand(worker=record)))

    def commit(self):
        """Commit what the leader has proposed, in this order."""
        self.log += self.uncommitted
        self.uncommitted = []

    def lead(self, node):
        """Make a node the leader; it has applied all entries of former leaders."""
        self.term += 1
        self.uncommitted = []
        self.is_commit_slow = False
        self.leader = node
        node.led_at = self.clock.monotonic()
        node.apply()

    def restart(self, index):
        """Replace a node by a new process of the same instance."""
        old = self.nodes[index]
        if self.leader is old:
            self.leader = None
        self.process_count += 1
        self.nodes[index] = Node(self, old.name, f"p{self.process_count}")
        return old

    def deliver(self, node, request, asked_at):
        """Let the leader handle a request for a renewal, and its sender the answer."""
        if self.leader is None:
            return
        registry = self.leader.registry
        registry.observe_term(self.term, self.leader.led_at)
        granted, _ = registry.renew(
            request, self.leader.table.session_assignments.last_index
        )
        if granted:
            node.lease.renew(asked_at)

    def play(self, seconds, nodes=None):
        """Let time pass, in which these nodes, or all of them, work as they should."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            for node in self.nodes if nodes is None else nodes:
                node.apply()
                node.renew()
            if self.leader is not None and (nodes is None or self.leader in nodes):
                self.leader.balancer.run_once()
            self.after_step()
            self.clock.advance(0.05)
