"""The subscription: keeps the configuration view in step with control."""

import threading
from collections.abc import Callable

from absl import logging
from returns.result import Result, Success

from arbutuscleat.core import Clock
from arbutuscleat.wire import CallError, Channel
from arbutuscleat.wire.gen.ttypes import FetchAnswer, FetchRequest, Status

from .configuration_view import ConfigurationView

POLL_MS = 1_000
CALL_SECONDS = 3.0
RETRY_SECONDS = 0.2


class Subscription:
    """One task that polls the control instances in turn, the leader if known.

    Parameters
    ----------
    node_id, incarnation : str
        Identity of this process.
    channels : mapping of str to Channel
        The control instances by node id.
    view : ConfigurationView
        What is kept in step.
    clock : Clock
        Source of time.
    on_answer : callable
        Called with each answer and the monotonic time its request was sent.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: str,
        channels: dict[str, Channel],
        view: ConfigurationView,
        clock: Clock,
        on_answer: Callable[[FetchAnswer, float], None],
    ):
        self._node_id = node_id
        self._incarnation = incarnation
        self._channels = channels
        self._names = list(channels)
        self._source = self._names[0]
        self._view = view
        self._clock = clock
        self._on_answer = on_answer
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="subscription", daemon=True
        )

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task and break off a call in progress."""
        self._stopping.set()
        for channel in self._channels.values():
            channel.close()

    def poll_once(self) -> bool:
        """Ask one control instance once; return whether it answered."""
        request = FetchRequest(
            node_id=self._node_id,
            incarnation=self._incarnation,
            known_version=self._view.version,
            in_force_version=self._view.version,
            wait_ms=POLL_MS,
        )
        sent_at = self._clock.monotonic()
        source = self._source
        result: Result[FetchAnswer, CallError] = self._channels[source].call(
            "fetch", request, CALL_SECONDS
        )
        if not isinstance(result, Success):
            self._turn_from(source, "")
            return False
        answer = result.unwrap()
        if self._view.take(answer):
            logging.info("configuration version %d", self._view.version)
        self._on_answer(answer, sent_at)
        if answer.status != Status.OK:
            self._turn_from(source, answer.leader)
            return False
        return True

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self.poll_once():
                self._clock.sleep(self._stopping, RETRY_SECONDS)

    def _turn_from(self, source: str, hint: str) -> None:
        if hint in self._channels and hint != source:
            self._source = hint
            return
        position = self._names.index(source) + 1
        self._source = self._names[position % len(self._names)]
