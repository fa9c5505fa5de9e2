"""The job queue as real processes, on the emulated platform."""

import signal
import tempfile
from pathlib import Path

from testtools import TestCase

from examples.berthline import CONFIG, BerthlineDemo

PATH = "/approvals/%016x"


class BerthlineTest(TestCase):
    """One installation serves all steps, because starting it takes seconds."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.demo = BerthlineDemo(Path(folder.name))
        self.addCleanup(self.demo.kill)
        self.demo.start()

    def submit(self, number, seconds="0.1", count=3, entry=0):
        content = {"spec": seconds, "steps": [{"count": count, "cpu": 500}]}
        return self.demo.job("POST", PATH % number, content, entry)[0]

    def state(self, number, entry=0):
        return self.demo.job("GET", PATH % number, entry=entry)[1].get("state")

    def wait_for_state(self, number, state="completed"):
        self.demo.wait(lambda: self.state(number) == state)

    def starts(self, number):
        job_id = f"{number:016x}"
        return [
            (key, run)
            for worker in self.demo.workers.values()
            for key, run in worker.model.started
            if key.job_id == job_id
        ]

    def test_whole_path(self):
        self.assertEqual(200, self.submit(1))
        self.wait_for_state(1)
        self.assertEqual(200, self.submit(1, entry=1))
        self.assertEqual("completed", self.state(1, entry=1))
        self.assertEqual(3, len(self.starts(1)))
        self.check_rejections()
        self.check_cancellation()
        self.check_wave()
        self.check_holder_failover()
        self.check_leader_failover()
        codes = self.demo.stop()
        self.assertEqual({0}, set(codes.values()))

    def check_rejections(self):
        demo = self.demo
        self.assertEqual(404, demo.job("GET", "/nowhere/1")[0])
        self.assertEqual(410, demo.job("GET", PATH % 99)[0])
        self.assertEqual(410, demo.job("DELETE", PATH % 99)[0])
        self.assertEqual(400, demo.job("POST", PATH % 99, {"spec": "x"})[0])
        self.assertEqual({"pending": 0}, demo.job("GET", "/approvals/")[1])
        self.assertEqual(400, demo.put_config({**CONFIG, "version": "2"}))
        self.assertEqual(200, demo.put_config({**CONFIG, "version": 0}))
        url = f"http://{demo.control[1]}/v1/configuration"
        self.assertEqual((200, CONFIG), demo.call("GET", url))

    def check_cancellation(self):
        self.submit(2, seconds="60")
        self.wait_for_state(2, "active")
        self.assertEqual(200, self.demo.job("DELETE", PATH % 2)[0])
        self.assertEqual("cancelled", self.state(2))
        running = [worker.model.running for worker in self.demo.workers.values()]
        self.demo.wait(lambda: not any(get() for get in running))

    def check_wave(self):
        url = f"http://{self.demo.control[2]}/v1/wave"
        wave = {"wave": 1, "machines": ["m-0", "m-1"], "duration-s": 20, "cap": 1}
        self.assertEqual(200, self.demo.call("POST", f"{url}-start", wave)[0])
        self.demo.wait(
            lambda: self.demo.call("GET", f"{url}-get/1")[1] == {"state": "completed"}
        )
        self.assertEqual({("m-0", 1), ("m-1", 1)}, set(self.demo.provider.upkeeps))

    def check_holder_failover(self):
        """The same for a follower, whose sessions with workers others take over."""
        leader = self.demo.leader()
        hosts = {address.host for address in self.demo.control} - {leader}
        self.check_runs_continue_without(min(hosts), 5, 6)

    def check_leader_failover(self):
        """Active runs continue under the next leader, and no task runs twice."""
        self.check_runs_continue_without(self.demo.leader(), 3, 4)

    def check_runs_continue_without(self, host, number, next_number):
        """Kill a control node under a job, and submit another; then start it again."""
        self.submit(number, seconds="6", count=4)
        self.wait_for_state(number, "active")
        self.demo.wait(lambda: len(self.starts(number)) == 4)
        self.demo.processes[host].send_signal(signal.SIGKILL)
        self.demo.processes[host].wait()
        self.demo.wait(lambda: self.submit(next_number) == 200)
        self.wait_for_state(next_number)
        self.wait_for_state(number)
        self.assertEqual(4, len(self.starts(number)))
        self.demo.start_process(host, "control")
        port = self.demo.control[0].port
        url = f"http://{host}:{port}/v1/configuration"
        self.demo.wait(lambda: self.demo.call("GET", url) == (200, CONFIG))
