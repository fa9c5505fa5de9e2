"""The reporter: reports endpoint announcements that differ from the log to control."""

import threading

from absl import logging
from returns.result import Failure

from arbutuscleat.core import Clock, Instance, InstanceState
from arbutuscleat.state import instance_record
from arbutuscleat.wire.gen.ttypes import Command, ReportInstance, ReportLost

from .announcement_table import AnnouncementTable
from .configuration_view import ConfigurationView
from .control_client import ControlClient

SCAN_INTERVAL_SECONDS = 0.25
PROPOSE_TIMEOUT_SECONDS = 2.0


class Reporter:
    """Proposes changed announcements and lost endpoints to control.

    Parameters
    ----------
    table : AnnouncementTable
        Announcements of the endpoints.
    view : ConfigurationView
        The replicated configuration.
    control : ControlClient
        Client used to propose the reports.
    clock : Clock
        Source of time.
    data_centre : str
        The data centre of this process.
    lost_seconds : float
        Time without an announcement after which an endpoint is reported as lost.
    """

    def __init__(
        self,
        table: AnnouncementTable,
        view: ConfigurationView,
        control: ControlClient,
        clock: Clock,
        data_centre: str,
        lost_seconds: float,
    ):
        self._table = table
        self._view = view
        self._control = control
        self._clock = clock
        self._data_centre = data_centre
        self._lost_seconds = lost_seconds
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="membership-reporter", daemon=True
        )

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task."""
        self._stopping.set()
        self._wake.set()

    def wake(self) -> None:
        """Scan the announcements without waiting for the interval."""
        self._wake.set()

    def report_once(self) -> int:
        """Propose all pending reports, up to the first failure.

        Returns
        -------
        int
            The number of reports that were committed.
        """
        reported = 0
        for command in self._commands():
            result = self._control.propose(command, PROPOSE_TIMEOUT_SECONDS)
            if isinstance(result, Failure):
                logging.warning("report to control failed: %s", result.failure().detail)
                return reported
            reported += 1
        return reported

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._clock.sleep(self._wake, SCAN_INTERVAL_SECONDS)
            self._wake.clear()
            if not self._stopping.is_set():
                self.report_once()

    def _commands(self) -> list[Command]:
        announced = [item.instance for item in self._table.all()]
        with self._view.changed:
            configuration = self._view.configuration
            if configuration is None:
                return []
            known = configuration.instances
            updated = [
                _report_command(item)
                for item in announced
                if _needs_report(item, known)
            ]
            lost = [_lost_command(i) for i in known.values() if self._is_lost(i)]
        return [*updated, *lost]

    def _is_lost(self, instance: Instance) -> bool:
        if instance.data_centre != self._data_centre:
            return False
        if instance.state is InstanceState.LOST:
            return False
        return self._table.silent_seconds(instance.instance_id) > self._lost_seconds


def _report_command(instance: Instance) -> Command:
    return Command(instance=ReportInstance(instance=instance_record(instance)))


def _lost_command(instance: Instance) -> Command:
    return Command(
        lost=ReportLost(
            instance_id=instance.instance_id,
            incarnation=instance.incarnation,
            sequence=instance.sequence,
        )
    )


def _needs_report(announced: Instance, known: dict[str, Instance]) -> bool:
    held = known.get(announced.instance_id)
    if held is None:
        return True
    if announced.order() <= held.order():
        return False
    return _reported_fields(announced) != _reported_fields(held)


def _reported_fields(instance: Instance) -> tuple:
    """Return the fields that control needs; a new sequence alone is not reported."""
    return (
        instance.incarnation,
        instance.host,
        instance.port,
        instance.data_centre,
        instance.rack,
        dict(instance.labels),
        instance.services,
        instance.slots,
        instance.connections,
        instance.state,
    )
