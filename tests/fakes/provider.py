"""A machine provider without a network, whose machine states tests can set."""

from dataclasses import replace

from arbutuscleat.execution import MachineOrderOutcome, MachineState, Provider


class FakeProvider(Provider):
    """Records orders and answers all of them with `outcome`.

    An upkeep order that is answered with DONE takes its machine down at once.  A move
    only takes effect when a test calls `set`.

    Parameters
    ----------
    names : iterable of str
        Names of the machines, which are all up at first.
    service_name : str
        Service to which the machines are assigned.
    """

    def __init__(self, names, service_name="karachi"):
        self.states = {
            name: MachineState(
                name, service_name, True, "", ("a", "r1"), 64_000, 131_072
            )
            for name in names
        }
        self.upkeeps = []
        self.moves = []
        self.outcome = MachineOrderOutcome.DONE

    def set(self, name, **fields):
        self.states[name] = replace(self.states[name], **fields)

    def machines(self):
        return list(self.states.values())

    def upkeep(self, machine, wave, fence, may_send):
        if not may_send():
            return MachineOrderOutcome.LATER
        self.upkeeps.append(machine)
        if self.outcome is MachineOrderOutcome.DONE:
            self.set(machine, is_up=False, in_upkeep=True)
        return self.outcome

    def move(self, machine, service_name, fence, may_send):
        if not may_send():
            return MachineOrderOutcome.LATER
        self.moves.append((machine, service_name))
        return self.outcome
