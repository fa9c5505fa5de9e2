"""The teams of a configuration."""

import json

from berthline.config_format import parse_config
from berthline.fields import FormatError
from berthline.team_format import MAX_KEY_CHARACTERS, parse_teams
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.jobs import Capacity, key_digest
from examples.berthline import CONFIG
from tests.platform.test_bad_input import LONE_SURROGATE, MISSING, changed

TEAM = {
    "name": "cugo130",
    "api-keys": ["pqk8bdk9eevyxq2yyaza", "x6pwawxdmdejk7f92bqu"],
    "priority": 1,
    "weight": 85,
    "cap": {"cpu": 4926141, "mem-mb": 6123997, "gpu": 0},
}
OTHER = {"name": "huvo11a", "api-keys": ["r1"]}
TREE = {**CONFIG, "tenants": [TEAM, OTHER]}
NUMBERS = st.one_of(st.integers(), st.floats(), st.none(), st.booleans(), st.text())


def parse(tree):
    return parse_config(json.dumps(tree).encode())


class TeamFormatTest(TestCase):
    def test_a_team(self):
        config = parse(TREE)
        self.assertEqual(["cugo130", "huvo11a"], list(config.teams))
        team = config.teams["cugo130"]
        self.assertEqual((85.0, 1), (team.weight, team.priority))
        self.assertEqual(Capacity(4926141, 6123997, 0), team.cap)
        self.assertEqual(Capacity(), config.teams["huvo11a"].cap)
        for key in TEAM["api-keys"]:
            self.assertIs(team, config.team_of_key(key_digest(key)))
        self.assertIsNone(config.team_of_key(key_digest("r2")))
        self.assertNotIn(TEAM["api-keys"][0], repr(team))

    def test_which_queues_need_a_key(self):
        for public in (False, True):
            config = parse_config(changed(TREE, ["routes", 0, "public"], public))
            (queue,) = config.queues.values()
            self.assertEqual(not public, config.needs_key(queue))
        for tree in (CONFIG, {**CONFIG, "tenants": []}):
            config = parse(tree)
            self.assertFalse(config.needs_key(config.queues["approvals"]))

    def test_what_is_harmless(self):
        for path, value in (
            (["api-keys"], ["k", "k"]),
            (["api-keys"], []),
            (["weight"], 0),
            (["weight"], 0.5),
            (["weight"], MISSING),
            (["cap"], {}),
            (["cap"], MISSING),
            (["priority"], MISSING),
            (["burst"], {"of": ["another", "version"]}),
        ):
            parse_config(changed(TREE, ["tenants", 0, *path], value))

    def test_invalid_teams(self):
        cases = [
            (["tenants"], None),
            (["tenants"], {}),
            (["tenants"], [None]),
            (["tenants"], [[TEAM]]),
            (["tenants"], [TEAM, TEAM]),
            (["tenants"], [TEAM, {**OTHER, "name": TEAM["name"]}]),
            (["tenants"], [TEAM, {**TEAM, "name": "other"}]),
            (["tenants", 1, "api-keys"], TEAM["api-keys"][:1]),
            (["tenants", 1, "api-keys"], MISSING),
            (["tenants", 1, "api-keys"], "r1"),
            (["tenants", 1, "api-keys"], {"r1": True}),
            (["tenants", 1, "api-keys"], [""]),
            (["tenants", 1, "api-keys"], [7]),
            (["tenants", 1, "api-keys"], [None]),
            (["tenants", 1, "api-keys"], [["r1"]]),
            (["tenants", 1, "api-keys"], [LONE_SURROGATE]),
            (["tenants", 1, "api-keys"], ["k" * (MAX_KEY_CHARACTERS + 1)]),
            (["tenants", 0, "name"], MISSING),
            (["tenants", 0, "name"], 7),
            (["tenants", 0, "name"], LONE_SURROGATE),
            (["tenants", 0, "weight"], -1),
            (["tenants", 0, "weight"], "85"),
            (["tenants", 0, "weight"], True),
            (["tenants", 0, "weight"], 10**400),
            (["tenants", 0, "weight"], float("inf")),
            (["tenants", 0, "cap"], 7),
            (["tenants", 0, "cap"], None),
            (["tenants", 0, "cap", "cpu"], -1),
            (["tenants", 0, "cap", "mem-mb"], 0.5),
            (["tenants", 0, "cap", "gpu"], "1"),
            (["tenants", 0, "cap", "gpu"], 1 << 62),
            (["tenants", 0, "priority"], -1),
            (["tenants", 0, "priority"], 1.5),
            (["routes", 0, "public"], 1),
            (["routes", 0, "public"], None),
        ]
        for path, value in cases:
            error = self.assertRaises(
                FormatError, parse_config, changed(TREE, path, value)
            )
            for key in (*TEAM["api-keys"], "r1", LONE_SURROGATE):
                self.assertNotIn(key, str(error))

    def test_errors_name_the_team(self):
        body = changed(TREE, ["tenants", 1, "weight"], -1)
        error = self.assertRaises(FormatError, parse_config, body)
        self.assertEqual(
            "tenants[1]: weight: not from 0.0 to 4611686018427387903", str(error)
        )
        body = changed(TREE, ["tenants", 1, "api-keys"], TEAM["api-keys"])
        error = self.assertRaises(FormatError, parse_config, body)
        self.assertEqual("tenants: 'cugo130' and 'huvo11a' share a key", str(error))

    @given(NUMBERS, NUMBERS, NUMBERS, st.lists(st.text()))
    def test_any_values_are_parsed_or_refused(self, weight, cpu, priority, keys):
        """Guards against an entry of the log that no replica can apply."""
        row = {"name": "a", "api-keys": keys, "weight": weight, "priority": priority}
        try:
            (team,) = parse_teams({"tenants": [{**row, "cap": {"cpu": cpu}}]})
        except FormatError:
            return
        self.assertTrue(team.weight >= 0 and team.cap.cpu >= 0 and team.priority >= 0)
        self.assertEqual(set(map(key_digest, keys)), team.key_digests)
