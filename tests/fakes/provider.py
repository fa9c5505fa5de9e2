"""A provider without a network: machines that tests put into any state."""

from dataclasses import replace

from arbutuscleat.execution import MachineOrderOutcome, MachineState, Provider


class FakeProvider(Provider):
    """Machines by name; orders are recorded, and take effect when a test says so."""

    def __init__(self, names, service_name="karachi"):
        self.states = {
            name: MachineState(name, service_name, True, "", ("a", "r1"), 64_000)
            for name in names
        }
        self.upkeeps = []
        self.moves = []
        self.outcome = MachineOrderOutcome.DONE

    def set(self, name, **fields):
        self.states[name] = replace(self.states[name], **fields)

    def machines(self):
        return list(self.states.values())

    def upkeep(self, machine, wave, fence):
        self.upkeeps.append(machine)
        if self.outcome is MachineOrderOutcome.DONE:
            self.set(machine, is_up=False, in_upkeep=True)
        return self.outcome

    def move(self, machine, service_name, fence):
        self.moves.append((machine, service_name))
        return self.outcome
