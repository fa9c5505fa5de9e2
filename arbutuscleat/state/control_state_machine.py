"""The state machine of the control instances, and its recent deltas.

Committed commands change the configuration, the change results and the claims.
Each command that raises the configuration version is also kept as a delta, so that
entry instances can follow without fetching the complete configuration.
"""

import threading
from collections import deque

from arbutuscleat.consensus import StateMachine
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen.ttypes import (
    ChangeResult,
    ClaimRecord,
    Command,
    ConfigDelta,
    Configuration,
    ControlImage,
)

from .change_table import ChangeTable
from .claim_table import ClaimTable
from .configuration_source import ConfigurationSource
from .fleet_configuration import FleetConfiguration

MAX_DELTAS = 4_096

CommandResult = ChangeResult | ClaimRecord | None


class ControlStateMachine(StateMachine, ConfigurationSource):
    """Configuration, change results and claims; only committed commands change them.

    Attributes
    ----------
    changed : threading.Condition
        Guards all state; notified on every new configuration version.
    configuration : FleetConfiguration
        Hold `changed` while reading it.
    claims : ClaimTable
        Hold `changed` while reading it.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.configuration = FleetConfiguration()
        self.claims = ClaimTable()
        self._changes = ChangeTable()
        self._deltas: deque[ConfigDelta] = deque(maxlen=MAX_DELTAS)

    def apply(self, index: int, payload: bytes) -> CommandResult:
        """Apply one committed command and return its result, if it has one."""
        command = decode(Command, payload)
        with self.changed:
            before = self.configuration.version
            result = self._apply(command)
            after = self.configuration.version
            if after != before:
                self._deltas.append(ConfigDelta(version=after, command=command))
                self.changed.notify_all()
            return result

    def image(self) -> bytes:
        """Return a serialised snapshot of the complete state."""
        with self.changed:
            return encode(
                ControlImage(
                    configuration=self.configuration.to_record(),
                    changes=self._changes.to_records(),
                    claims=self.claims.to_records(),
                    claims_horizon_ms=self.claims.horizon_ms,
                )
            )

    def restore(self, image: bytes) -> None:
        """Replace the complete state by a snapshot that `image` returned."""
        record = decode(ControlImage, image)
        with self.changed:
            self.configuration = FleetConfiguration.from_record(record.configuration)
            self._changes.restore(record.changes)
            self.claims.restore(record.claims, record.claims_horizon_ms or 0)
            self._deltas.clear()
            self.changed.notify_all()

    def claim(self, key: str) -> ClaimRecord | None:
        """Return the claim of a key, or None if the key is not claimed."""
        with self.changed:
            return self.claims.get(key)

    def change_result(self, change_id: str) -> ChangeResult | None:
        """Return the result of a change, or None if it is unknown."""
        with self.changed:
            return self._changes.get(change_id)

    @property
    def version(self) -> int:
        """The current configuration version."""
        return self.configuration.version

    def full(self) -> Configuration:
        """Return the complete configuration; the caller holds `changed`."""
        return self.configuration.to_record()

    def deltas_since(self, version: int) -> list[ConfigDelta] | None:
        """Return the deltas after `version`, or None if some were discarded."""
        missing = self.configuration.version - version
        if missing < 0 or missing > len(self._deltas):
            return None
        return list(self._deltas)[len(self._deltas) - missing :]

    def _apply(self, command: Command) -> CommandResult:
        if command.change is not None:
            return self._changes.decide(command.change, self.configuration)
        if command.begin_claim is not None:
            return self.claims.begin(command.begin_claim)
        if command.end_claim is not None:
            return self.claims.end(command.end_claim)
        if command.forget_claims is not None:
            self.claims.forget(command.forget_claims.before_ms)
            return None
        self.configuration.replay(command)
        return None
