from testtools import TestCase

from arbutuscleat.core import parse_selector, validate_selector

LABELS = {"site": "karachi", "tier": "gold", "gpu": ""}

MATCHES = [
    ("", True),
    ("gpu", True),
    ("!gpu", False),
    ("!drained", True),
    ("site=karachi", True),
    ("site==karachi", True),
    ("site=qasim", False),
    ("site!=qasim", True),
    ("missing!=qasim", True),
    ("site in (qasim, karachi)", True),
    ("site in (qasim)", False),
    ("site notin (qasim)", True),
    ("missing notin (qasim)", True),
    ("site=karachi,tier=gold", True),
    ("site=karachi, tier=silver", False),
]

FAULTS = [
    "site=",
    "=karachi",
    "site in",
    "site in ()",
    "a b",
    ",",
    "a,,b",
    "a&b",
    "(a)",
]


class SelectorTest(TestCase):
    def test_matches(self):
        for text, expected in MATCHES:
            self.assertEqual(expected, parse_selector(text).matches(LABELS), text)

    def test_faults_are_values_with_their_source(self):
        for text in FAULTS:
            errors = validate_selector(text, "pool portal membership")
            self.assertEqual(1, len(errors), text)
            self.assertEqual("pool portal membership", errors[0].source)

    def test_a_long_selector_is_refused(self):
        self.assertEqual(1, len(validate_selector("a" * 2000, "x")))
