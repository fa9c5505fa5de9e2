"""A state machine that keeps what it was given."""

import json

from arbutuscleat.consensus import StateMachine


class RecordingStateMachine(StateMachine):
    """Keeps each payload with its index."""

    def __init__(self):
        self.applied = []

    def apply(self, index, payload):
        self.applied.append((index, payload.decode()))
        return f"result of {index}"

    def image(self):
        return json.dumps(self.applied).encode()

    def restore(self, image):
        self.applied = [(index, text) for index, text in json.loads(image)]
