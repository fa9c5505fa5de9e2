"""Answers of workers with rows and fields that nobody expects."""

import copy
import json
from dataclasses import replace

from berthline.fields import FormatError
from berthline.http_calls import CallResult
from berthline.skipped_rows import SKIPPED_ROWS
from berthline.worker_calls import BerthlineWorkerClient
from berthline.worker_format import parse_hold
from testtools import TestCase

from arbutuscleat.execution import (
    NO_POSITION,
    UNKNOWN_PROGRESS,
    FinishedRun,
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    RunningTask,
    StopOrder,
)
from arbutuscleat.jobs import RunOutcome, TaskKey
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import EndRecord
from tests.fakes.jobs import worker

JOB = "5c0e7a21d94b36f8"
KEY = TaskKey(JOB, 0, 1, 17)
NAME = f"{JOB}.0.1.17"
RUNNING = [NAME, 2, "00000bb87a21d94b", 41, 500]
FINISHED = [58, f"{JOB}.0.1.9", 1, "done", ""]
HOLD = {"clock-ms": 482_113, "born": 7, "running": [RUNNING], "finished": [FINISHED]}
RUNNING_TASK = RunningTask(KEY, 2, 41, 500)
FINISHED_RUN = FinishedRun(58, TaskKey(JOB, 0, 1, 9), 1, RunOutcome.DONE, "")
ODD_ROWS = [None, 7, "row", {}, {"0": NAME}, [], [NAME], [[NAME, 2, "", 41]], True]
ODD_NUMBERS = [None, "2", True, 1.5, float("inf"), float("nan"), -1, 1 << 70, [2], {}]
ODD_NAMES = [
    None,
    7,
    [],
    {},
    "",
    "x",
    "....",
    f"{JOB}.0.1",
    f"{JOB}.0.1.-1",
    f"{JOB}.0.1.+1",
    f"{JOB}.0.1.9\n",
    f"{JOB}.0.1.99999999999",
    f"{JOB}.0.\u0661.9",
    f"{JOB}.0.1_0.9",
    f"{JOB[1:]}\ud800.0.1.9",
]
ODD_CHECKPOINTS = [7, None, [], {}, "\ud800", "c" * 100_000]


def answer(**values):
    """Return the answer to a hold with some values replaced, as it is received."""
    tree = copy.deepcopy({**HOLD, **values})
    return parse_hold(json.loads(json.dumps(tree)))


def replaced(row, index, value):
    """Return a row with one value replaced."""
    return [*row[:index], value, *row[index + 1 :]]


class HoldAnswerTest(TestCase):
    def test_a_sound_answer(self):
        result = answer()
        self.assertEqual((482_113, 7), (result.clock_ms, result.born_ms))
        self.assertEqual((RUNNING_TASK,), result.running)
        self.assertEqual((FINISHED_RUN,), result.finished)
        self.assertEqual(0, result.skipped_ends)

    def test_an_odd_running_row_costs_only_that_row(self):
        """Guards against the end of the hold thread by one row."""
        rows = list(ODD_ROWS)
        rows += [replaced(RUNNING, 0, name) for name in ODD_NAMES]
        rows += [replaced(RUNNING, 1, number) for number in [*ODD_NUMBERS, 0]]
        for row in rows:
            running = answer(running=[row, RUNNING]).running
            self.assertEqual((RUNNING_TASK,), running, row)

    def test_a_run_is_active_whatever_its_progress(self):
        """Guards against a run that counts as missing for one field (review/13)."""
        rows = [replaced(RUNNING, 3, n) for n in ODD_NUMBERS if n != 1.5]
        for row in [*rows, RUNNING[:2], RUNNING[:3]]:
            (found,) = answer(running=[row]).running
            self.assertEqual(
                (KEY, 2, UNKNOWN_PROGRESS), (found.key, found.number, found.percent)
            )

    def test_a_progress_with_a_fraction_is_rounded_down(self):
        (found,) = answer(running=[replaced(RUNNING, 3, 1.5)]).running
        self.assertEqual(1, found.percent)

    def test_the_load_of_a_run_may_be_missing_or_odd(self):
        """Guards against the stop of a sound run because of a rough figure."""
        for row in (RUNNING[:4], *(replaced(RUNNING, 4, n) for n in ODD_NUMBERS)):
            (found,) = answer(running=[row]).running
            self.assertEqual((KEY, 2, 41), (found.key, found.number, found.percent))

    def test_an_odd_end_costs_only_that_row_and_is_counted(self):
        rows = list(ODD_ROWS)
        rows += [replaced(FINISHED, 1, name) for name in ODD_NAMES]
        rows += [replaced(FINISHED, 2, number) for number in [*ODD_NUMBERS, 0]]
        for row in rows:
            result = answer(finished=[row, FINISHED])
            self.assertEqual((FINISHED_RUN,), result.finished, row)
            self.assertEqual(1, result.skipped_ends)

    def test_an_end_counts_whatever_its_checkpoint(self):
        """Guards against failed runs that never count (review/13)."""
        too_long = ["c" * 4_001, "\u00e9" * 2_001]
        for how, outcome in (("done", RunOutcome.DONE), ("failed", RunOutcome.FAILED)):
            row = replaced(FINISHED, 3, how)
            expected = replace(FINISHED_RUN, outcome=outcome)
            for text in [*ODD_CHECKPOINTS, *too_long]:
                result = answer(finished=[replaced(row, 4, text), FINISHED])
                self.assertEqual((expected, FINISHED_RUN), result.finished)
                self.assertEqual(0, result.skipped_ends)
            for text in ("c" * 1_200, "c" * 4_000, "\u00e9" * 2_000):
                (found,) = answer(finished=[replaced(row, 4, text)]).finished
                self.assertEqual(text, found.checkpoint)

    def test_an_end_counts_as_an_attempt_if_its_outcome_is_not_known(self):
        """Guards against a task that starts again without end (review/13)."""
        rows = [replaced(FINISHED, 3, how) for how in (None, 7, [], {}, True, "odd")]
        for row in [*rows, FINISHED[:3]]:
            result = answer(finished=[row, FINISHED])
            self.assertEqual(0, result.skipped_ends)
            expected = replace(FINISHED_RUN, outcome=RunOutcome.FAILED)
            self.assertEqual((expected, FINISHED_RUN), result.finished)

    def test_an_end_counts_although_its_position_cannot_be_acknowledged(self):
        """Guards against an end that passes for the loss of its run."""
        for number in [*ODD_NUMBERS, 0]:
            result = answer(finished=[replaced(FINISHED, 0, number), FINISHED])
            expected = replace(FINISHED_RUN, position=NO_POSITION)
            self.assertEqual((expected, FINISHED_RUN), result.finished)

    def test_rows_before_and_after_an_odd_one_count(self):
        """Guards against a list of 500 ends that one of them spoils."""
        rows = [
            [1 + n, f"{JOB}.0.1.{n}", 1, "failed", "c" * (5_000 * (n % 2))]
            for n in range(500)
        ]
        result = answer(finished=rows)
        self.assertEqual(list(range(1, 501)), [end.position for end in result.finished])
        self.assertEqual({RunOutcome.FAILED}, {end.outcome for end in result.finished})

    def test_skipped_fields_are_counted(self):
        before = SKIPPED_ROWS.gauges().get(
            'fields_skipped{kind="list of ended runs"}', 0
        )
        answer(finished=[replaced(FINISHED, 4, "c" * 5_000)])
        after = SKIPPED_ROWS.gauges()['fields_skipped{kind="list of ended runs"}']
        self.assertEqual(before + 1, after)

    def test_a_list_of_500_ends_may_leave_others_out(self):
        """Guards against a full list that counts as complete (review/6)."""
        rows = [replaced(FINISHED, 0, 1 + number) for number in range(499)]
        self.assertTrue(answer(finished=rows).lists_all_ends)
        for last in (replaced(FINISHED, 0, 500), []):
            self.assertFalse(answer(finished=[*rows, last]).lists_all_ends)

    def test_the_ends_that_are_accepted_can_be_logged(self):
        for end in answer(finished=[FINISHED, replaced(FINISHED, 3, "odd")]).finished:
            run = end.key.run_record(end.number, ("i-1", 7))
            record = EndRecord(run, int(end.outcome), end.checkpoint)
            self.assertEqual(record, decode(EndRecord, encode(record)))

    def test_an_answer_without_its_lists_or_its_clock_is_invalid(self):
        for name in ("clock-ms", "running", "finished"):
            for value in (None, {}, "", True, 1 << 70, float("inf")):
                self.assertRaises(FormatError, answer, **{name: value})
        for value in (None, "now", [], 1 << 70, 1.5):
            self.assertRaises(FormatError, answer, born=value)


class FakeCalls:
    """Answers every call with the same status and tree."""

    def __init__(self, status, tree):
        self.result = CallResult(status, tree)

    def call(self, method, path, content, timeout, check):
        return self.result


class WorkerClientTest(TestCase):
    def client(self, status, tree):
        client = BerthlineWorkerClient(worker())
        client._calls = FakeCalls(status, tree)
        return client

    def test_an_odd_clock_in_the_answer_to_an_order_is_no_reading(self):
        """Guards against the end of the thread that sends the orders."""
        for clock in (*ODD_NUMBERS, 10**400):
            client = self.client(200, {"clock-ms": clock})
            found = client.stop(StopOrder(KEY, 1, 7), 1.0)
            self.assertEqual(OrderAnswer(OrderOutcome.DONE, 0), found, clock)

    def test_an_odd_reason_is_an_invalid_order(self):
        for reason in ({}, [], 7, None, "other", [[]] * 3):
            client = self.client(409, {"reason": reason, "clock-ms": 5})
            found = client.stop(StopOrder(KEY, 1, 7), 1.0)
            self.assertEqual(OrderAnswer(OrderOutcome.INVALID, 5), found)

    def test_an_invalid_answer_to_a_hold_is_none(self):
        for tree in ({}, {"clock-ms": 1, "running": {}, "finished": []}):
            found = self.client(200, tree).hold(HoldOrder(7, 0, None, 0), 1.0)
            self.assertEqual(OrderOutcome.NO_ANSWER, found.outcome)
