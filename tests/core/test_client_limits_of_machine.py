from arbutuscleat.core import ClientLimits, MachineLimits

MEBIBYTE = 1_024 * 1_024


def test_the_limits_fit_the_memory_and_the_descriptors():
    for megabytes in (16, 64, 160, 296, 4_096):
        for files in (64, 1_024, 4_096, 65_536):
            machine = MachineLimits(megabytes * MEBIBYTE, files)
            limits = ClientLimits.of_machine(machine)
            assert limits.connections <= max(8, files // 4)
            taken = limits.connections * limits.receive_bytes + limits.buffer_bytes
            assert taken <= machine.memory_bytes / 2
            checks = limits.for_checks()
            assert checks.connections <= limits.connections
            assert checks.receive_bytes <= limits.receive_bytes


def test_the_defaults_are_those_of_the_smallest_machine():
    assert ClientLimits.of_machine(MachineLimits()) == ClientLimits()


def test_a_limit_that_is_set_replaces_that_of_the_machine():
    limits = ClientLimits.of_machine(MachineLimits(), connections=100)
    assert limits.connections == 100
