"""A state machine that records the applied commands."""

import json

from arbutuscleat.consensus import StateMachine


class RecordingStateMachine(StateMachine):
    """Records the index and the payload of each applied command."""

    def __init__(self):
        self.applied = []

    def apply(self, index, payload):
        self.applied.append((index, payload.decode()))
        return f"result of {index}"

    def image(self):
        return json.dumps(self.applied).encode()

    def restore(self, image):
        self.applied = [(index, text) for index, text in json.loads(image)]
