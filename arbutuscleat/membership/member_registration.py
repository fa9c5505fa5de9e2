"""The registration task: keeps this entry instance registered as a live member."""

import threading
from dataclasses import replace

from absl import logging
from returns.result import Failure

from arbutuscleat.core import Clock
from arbutuscleat.state import Member, member_record
from arbutuscleat.wire.gen.ttypes import Command, ReportMember

from .configuration_view import ConfigurationView
from .control_client import ControlClient

CHECK_INTERVAL_SECONDS = 0.5
PROPOSE_TIMEOUT_SECONDS = 2.0


class MemberRegistration:
    """Proposes this process as a member whenever the log does not list it as such.

    Parameters
    ----------
    member : Member
        The desired registration of this process.
    view : ConfigurationView
        The replicated configuration.
    control : ControlClient
        Client used to propose the registration.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        member: Member,
        view: ConfigurationView,
        control: ControlClient,
        clock: Clock,
    ):
        self._member = member
        self._view = view
        self._control = control
        self._clock = clock
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="listing", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task."""
        self._stopping.set()

    def register_once(self) -> bool:
        """Propose the member unless it is registered as desired already.

        Returns
        -------
        bool
            Whether it was already registered as desired.  False if no
            configuration is held yet.
        """
        with self._view.changed:
            configuration = self._view.configuration
            if configuration is None:
                return False
            known = configuration.members.get(self._member.node_id)
        if known is not None and _is_registered_as(known, self._member):
            return True
        command = Command(member=ReportMember(member=member_record(self._member)))
        result = self._control.propose(command, PROPOSE_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            logging.warning("member registration failed: %s", result.failure().detail)
        return False

    def leave(self) -> None:
        """Deregister this process before it stops: it will not dispatch any more."""
        self.stop()
        departed = replace(self._member, live=False)
        command = Command(member=ReportMember(member=member_record(departed)))
        result = self._control.propose(command, PROPOSE_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            logging.warning("member deregistration failed: %s", result.failure().detail)

    def _run(self) -> None:
        while not self._clock.sleep(self._stopping, CHECK_INTERVAL_SECONDS):
            self.register_once()


def _is_registered_as(known: Member, wanted: Member) -> bool:
    return (known.incarnation, known.host, known.port, known.live, known.suspect) == (
        wanted.incarnation,
        wanted.host,
        wanted.port,
        wanted.live,
        wanted.suspect,
    )
