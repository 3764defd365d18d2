"""Submissions: versions, races under equal numbers, and resends."""

import json
import unittest

from trestlestall.configuration import commands, documents, model, outcomes, state

BREAKDOWN = model.RequestClass("breakdown", 0, 2.0, 0.5, True, 0.05)
KEY_DIGEST = model.digest_key("secret")


def submit(request_id, command, number=None, operator="alice"):
    return commands.Submission(request_id, operator, number, command)


def apply_all(start, *submissions):
    results = []
    for place, submission in enumerate(submissions):
        start, outcome = state.apply_submission(start, submission, float(place))
        results.append(outcome)
    return start, results


def reload(value):
    document = json.loads(json.dumps(documents.encode_state(value)))
    return documents.decode_state(document)


class RaceTest(unittest.TestCase):
    def test_equal_numbers_have_one_winner(self):
        """The second of two commands for one number learns what beat it."""
        first = submit("r1", commands.DeclareClass(BREAKDOWN), 1)
        second = submit("r2", commands.Drain("u1"), 1, "bob")
        after, results = apply_all(state.EMPTY, first, second)
        winner = outcomes.HistoryEntry(1, "alice", 0.0, "r1", first.command)
        self.assertEqual(results, [outcomes.Accepted(1), outcomes.Beaten(1, winner)])
        self.assertEqual(after.configuration.version, 1)
        self.assertEqual(after.configuration.drained, frozenset())

    def test_resend_gets_first_outcome_through_documents(self):
        """A resend is answered alike after the state was encoded and decoded."""
        first = submit("r1", commands.DeclareClass(BREAKDOWN), 1)
        beaten = submit("r2", commands.Drain("u1"), 1)
        wrong = submit("r3", commands.RemoveClass("none"))
        sent = (first, beaten, wrong)
        after, results = apply_all(state.EMPTY, *sent)
        restored = reload(after)
        again, repeated = apply_all(restored, *sent)
        self.assertEqual(repeated, results)
        self.assertEqual(again, after)

    def test_request_id_of_another_command_is_refused(self):
        """A used identifier does not answer for another command or operator."""
        after, _ = apply_all(state.EMPTY, submit("r1", commands.Drain("u1")))
        for other in (
            submit("r1", commands.Drain("u2")),
            submit("r1", commands.Drain("u1"), operator="bob"),
        ):
            with self.subTest(other=other):
                kept, outcome = state.apply_submission(after, other, 9.0)
                self.assertEqual(outcome.code, "request_id_reused")
                self.assertIs(kept, after)


if __name__ == "__main__":
    unittest.main()
