"""Signals that reach a running node."""

import subprocess
import sys

from testtools import TestCase

PROGRAM = """
import os, signal, sys, threading, time
from arbutuscleat.nodes.running import run_until_stopped

def send_to_another_thread():
    # The kernel may choose any thread for a signal that is sent to the process.
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.pthread_kill(threading.get_ident(), number)
    # A thread that ends would wake up the main thread.
    threading.Event().wait()

def send_many():
    sys.setswitchinterval(1e-6)
    until = time.monotonic() + 2.0
    while time.monotonic() < until:
        signal.pthread_kill(threading.main_thread().ident, signal.SIGHUP)
        time.sleep(1e-5)
    signal.pthread_kill(threading.main_thread().ident, signal.SIGTERM)

class Node:
    def start(self):
        threading.Timer(0.5, globals()[sys.argv[1]]).start()

    def stop(self):
        print("stops", flush=True)

    def reload(self):
        pass

os._exit(run_until_stopped(Node()))
"""
WAIT_SECONDS = 20.0


class RunningTest(TestCase):
    def check(self, sender):
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM, sender],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.assertEqual(0, process.wait(WAIT_SECONDS))
        self.assertEqual("stops\n", process.stdout.read())

    def test_a_signal_that_another_thread_receives_stops_the_node(self):
        self.check("send_to_another_thread")

    def test_many_signals_do_not_block_the_main_thread(self):
        self.check("send_many")
