"""Announcements that an emulated endpoint sends to entry instances."""

import argparse
import json
import threading
import time

import urllib3
from absl import logging

from .ports import LOOPBACK

ANNOUNCE_TIMEOUT_SECONDS = 2.0
CONNECTIONS = 64


class Announcer:
    """Announces an endpoint to the entry instances of its data centre, round-robin.

    Parameters
    ----------
    entries : list of str
        Base addresses, such as ``http://127.0.0.1:8080``.
    token : str
        The endpoints' bearer token.
    content : dict
        The announcement without its state and sequence number.
    interval : float
        Seconds between announcements.
    """

    def __init__(self, entries: list[str], token: str, content: dict, interval: float):
        self._entries = entries
        self._headers = {"Authorization": f"Bearer {token}"}
        self._content = content
        self._interval = interval
        self._sequence = 0
        self._http = urllib3.PoolManager(retries=False)

    def announce(self, state: str) -> bool:
        """Announce once; if an entry instance is unreachable, try the next one.

        Returns
        -------
        bool
            Whether an entry instance accepted the announcement.
        """
        self._sequence += 1
        content = {**self._content, "state": state, "sequence": self._sequence}
        for attempt in range(len(self._entries)):
            base = self._entries[(self._sequence + attempt) % len(self._entries)]
            try:
                response = self._http.request(
                    "POST",
                    f"{base}/v1/announcements",
                    body=json.dumps(content).encode(),
                    headers=self._headers,
                    timeout=ANNOUNCE_TIMEOUT_SECONDS,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                return True
            logging.warning("announcement refused: %s", response.data[:300])
        return False

    def run(self, stop: threading.Event) -> None:
        """Announce until `stop` is set, then announce that the endpoint is leaving."""
        while not stop.is_set():
            self.announce("ready")
            stop.wait(self._interval)
        self.announce("leaving")


def add_endpoint_options(parser: argparse.ArgumentParser) -> None:
    """Add the command-line options that all emulated endpoints share."""
    parser.add_argument("--instance", required=True)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--rack", default="rack-1")
    parser.add_argument("--service", action="append", required=True)
    parser.add_argument("--label", action="append", default=[], metavar="KEY=VALUE")
    parser.add_argument("--entry", action="append", default=[], metavar="URL")
    parser.add_argument("--token", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--run-ms", type=float, default=0.0)
    parser.add_argument("--interval-ms", type=float, default=500.0)


def announcement(options: argparse.Namespace, port: int) -> dict:
    """Return the announcement of an emulated endpoint started with `options`."""
    return {
        "instance_id": options.instance,
        "incarnation": f"{time.time_ns():020d}",
        "host": LOOPBACK,
        "port": port,
        "data_centre": options.data_centre,
        "rack": options.rack,
        "labels": dict(item.split("=", 1) for item in options.label),
        "services": options.service,
        "slots": options.slots,
        "connections": CONNECTIONS,
    }
