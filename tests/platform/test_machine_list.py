"""The provider's list of machines, with rows that another writer has left."""

from berthline.capacity_format import MAX_CPU, MAX_GPU, MAX_MEM_MB
from berthline.http_calls import CallResult
from berthline.provider_calls import BerthlineProvider
from testtools import TestCase

from arbutuscleat.execution import MachineState
from arbutuscleat.wire import Address

ROW = {
    "machine": "m-1",
    "pool": "karachi",
    "state": "up",
    "zone": "west",
    "labels": ["a", "r1"],
    "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 1},
    "id": "i-1",
}
STATE = MachineState("m-1", "karachi", True, "i-1", ("a", "r1"), 16_000, 32_768, 1)
LAST = {**ROW, "machine": "m-9", "id": "i-9"}
MANY_DIGITS = 10**30


class FakeCalls:
    """Returns one page for each call; the last one again for all further calls."""

    def __init__(self, *pages):
        self.pages = list(pages)
        self.paths = []

    def call(self, method, path, content, timeout):
        self.paths.append(path)
        page = self.pages.pop(0) if len(self.pages) > 1 else self.pages[0]
        return CallResult(200, page)


def provider(*pages):
    """Return a provider that answers with these pages."""
    result = BerthlineProvider(Address("127.0.0.1", 1), "a")
    result._calls = FakeCalls(*pages)
    return result


def read(*rows):
    """Return the machines of a list of one page."""
    return provider({"machines": list(rows), "next-page-token": None}).machines()


class MachineListTest(TestCase):
    def test_a_sound_list(self):
        self.assertEqual([STATE], read(ROW))

    def test_a_row_that_names_no_machine_costs_only_that_row(self):
        """Guards against a list that cannot be read because of one row."""
        odd = [
            None,
            7,
            "m-1",
            [],
            [["machine", "m-2"]],
            {},
            {**ROW, "machine": ["m-2"]},
            {**ROW, "machine": {"name": "m-2"}},
            {**ROW, "machine": ""},
            {**ROW, "machine": "m\ud800"},
            {**ROW, "machine": "m" * 100_000},
        ]
        for row in odd:
            names = [item.machine for item in read(ROW, row, LAST)]
            self.assertEqual(["m-1", "m-9"], names, row)

    def test_a_machine_with_an_odd_field_is_listed_but_not_up(self):
        """Guards against a wave that takes such a machine for one that has gone."""
        odd = [
            ("pool", None),
            ("pool", ["karachi"]),
            ("pool", "p\udfff"),
            ("state", {"up": True}),
            ("labels", 7),
            ("labels", [7]),
            ("labels", {"a": "r1"}),
            ("labels", ["\ud800"]),
            ("id", {"id": "i-2"}),
            ("id", 7),
            ("capacity", []),
            ("capacity", "16000"),
            ("capacity", {"cpu": "many"}),
            ("capacity", {"cpu": True}),
            ("capacity", {"cpu": float("inf")}),
            ("capacity", {"cpu": float("nan")}),
            ("capacity", {"cpu": MANY_DIGITS}),
            ("capacity", {"cpu": -1}),
            ("capacity", {"cpu": MAX_CPU + 1}),
            ("capacity", {"mem-mb": MAX_MEM_MB + 1}),
            ("capacity", {"gpu": MAX_GPU + 1}),
            ("capacity", {"mem-mb": [1]}),
            ("capacity", {"gpu": {}}),
        ]
        for name, value in odd:
            row = {**ROW, "machine": "m-2", name: value}
            states = read(ROW, row, LAST)
            self.assertEqual(STATE, states[0])
            self.assertEqual(["m-1", "m-9", "m-2"], [s.machine for s in states])
            self.assertEqual(MachineState("m-2", "", False, ""), states[2], row)

    def test_a_row_without_a_pool(self):
        row = {name: value for name, value in ROW.items() if name != "pool"}
        states = read({**row, "machine": "m-2"}, ROW)
        self.assertEqual([STATE, MachineState("m-2", "", False, "")], states)

    def test_an_odd_row_does_not_hide_the_sound_row_of_its_machine(self):
        for rows in ((ROW, {**ROW, "labels": 7}), ({**ROW, "labels": 7}, ROW)):
            self.assertEqual([STATE], read(*rows))

    def test_a_list_without_a_sound_row_is_unavailable(self):
        """Guards against a fleet that counts as empty because its format changed."""
        self.assertIsNone(read({**ROW, "capacity": 7}, None))
        self.assertEqual([], read())

    def test_a_list_that_is_no_list_is_unavailable(self):
        for page in ({}, {"machines": None}, {"machines": {"m-1": ROW}}):
            self.assertIsNone(provider(page).machines())

    def test_pages_are_read_in_order(self):
        subject = provider(
            {"machines": [ROW], "next-page-token": "a b&c"}, {"machines": [LAST]}
        )
        self.assertEqual(["m-1", "m-9"], [item.machine for item in subject.machines()])
        self.assertEqual("/v1/machines?page-token=a%20b%26c", subject._calls.paths[1])

    def test_a_page_that_repeats_its_token_ends_the_list(self):
        """Guards against 100 calls in each iteration of the machine controller."""
        subject = provider({"machines": [ROW], "next-page-token": "again"})
        self.assertIsNone(subject.machines())
        self.assertEqual(2, len(subject._calls.paths))

    def test_a_page_token_of_another_type_makes_the_list_unavailable(self):
        for token in ([1], {"a": 1}, True, 1.5, "\ud800", "t" * 100_000):
            page = {"machines": [ROW], "next-page-token": token}
            subject = provider(page, {"machines": []})
            self.assertIsNone(subject.machines(), token)
