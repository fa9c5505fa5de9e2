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

INVALID = [
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

    def test_an_invalid_selector_gives_one_error_with_its_source(self):
        for text in INVALID:
            errors = validate_selector(text, "pool portal membership")
            self.assertEqual(1, len(errors), text)
            self.assertEqual("pool portal membership", errors[0].source)

    def test_a_selector_beyond_the_length_limit_is_rejected(self):
        self.assertEqual(1, len(validate_selector("a" * 2000, "x")))
