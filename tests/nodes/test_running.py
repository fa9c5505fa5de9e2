"""Signals that reach a running node."""

import subprocess
import sys

from testtools import TestCase

PROGRAM = """
import os, signal, threading
from arbutuscleat.nodes.running import run_until_stopped

def send():
    # The kernel may choose any thread for a signal that is sent to the process.
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.pthread_kill(threading.get_ident(), number)
    # A thread that ends would wake up the main thread.
    threading.Event().wait()

class Node:
    def start(self):
        threading.Timer(0.5, send).start()

    def stop(self):
        print("stops", flush=True)

    def reload(self):
        print("reloads", flush=True)

os._exit(run_until_stopped(Node()))
"""
WAIT_SECONDS = 20.0


class RunningTest(TestCase):
    def test_a_signal_that_another_thread_receives_stops_the_node(self):
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.assertEqual(0, process.wait(WAIT_SECONDS))
        self.assertEqual("stops\n", process.stdout.read()[-6:])
