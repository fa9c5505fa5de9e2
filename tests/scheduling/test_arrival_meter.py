"""Tests of the meter of arriving work."""

from testtools import TestCase

from arbutuscleat.scheduling import ArrivalMeter


class ArrivalMeterTest(TestCase):
    def test_the_work_of_the_last_window_counts(self):
        meter = ArrivalMeter(5.0)
        for number in range(10):
            meter.record("a", 8_000_000, 1.0 * number)
        self.assertEqual(8_000, meter.cpu("a", 9.5))
        self.assertEqual(0, meter.cpu("b", 9.5))
        self.assertEqual(1_600, meter.cpu("a", 13.5))
        self.assertEqual(0, meter.cpu("a", 14.0))
