"""Which parts of prompts are held for crashing upstreams, and what clears them."""

import math
import unittest

from packages.forwarding.tests import parts_world
from trestlestall.forwarding import harmful_parts, part_reports, suspects

HARMLESS, DOUBTFUL, HARMFUL, ON_TRIAL = harmful_parts.Verdict
#: Random schedules of each run.
SEEDS = range(12)
#: Accepted wrong refusals while a part crashes upstreams, as a share of all requests.
WRONG_SHARE = 0.01


def make_key(part, context="service/model"):
    return part_reports.Key(context, part)


FATAL, SOUND, FIRST = map(make_key, ("fatal", "sound", "first"))


class RecordCase(unittest.TestCase):
    def setUp(self):
        self.record = harmful_parts.Record()
        self.record.evidence.record_serving(12, 0.0)

    def crash(self, at, *keys, sent_at=None, record=None, workspaces=("w",)):
        """Let an upstream crash on a request that was sent shortly before."""
        sent_at = at - 0.1 if sent_at is None else sent_at
        presence = suspects.Presence(sent_at, at, frozenset(workspaces))
        record = self.record if record is None else record
        for key in keys:
            record.record_end(key, f"u{at}", presence)

    def check(self, verdict, *keys, now=10.0, **options):
        found = self.record.evaluate(keys, now, **options)
        self.assertIs(found.verdict, verdict)


class VerdictTest(RecordCase):
    def test_a_part_is_held_after_three_independent_crashes(self):
        for number, verdict in enumerate((HARMLESS, DOUBTFUL, HARMFUL), 1):
            self.crash(float(number), FATAL)
            self.check(verdict, FATAL, now=number + 0.1)
        self.check(HARMLESS, SOUND)

    def test_a_part_that_was_answered_takes_more_crashes(self):
        """Repeats of two fatal requests had one sound part in common."""
        self.record.record_answer(SOUND, 0.0)
        for at, fatal in ((1.0, FATAL), (1.2, FATAL), (2.0, FIRST), (2.2, FIRST)):
            self.crash(at, SOUND, fatal)
        self.check(DOUBTFUL, SOUND, now=2.3)
        self.crash(3.0, FATAL)
        self.check(HARMFUL, FATAL, now=3.1)

    def test_crashes_of_one_moment_are_one_cause(self):
        for number in range(8):
            self.crash(5.0 + number / 100, SOUND, sent_at=4.0 + number / 10)
        self.check(HARMLESS, SOUND)

    def test_a_whole_answer_clears_crashes_of_requests_sent_before(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, SOUND)
        self.assertTrue(self.record.record_answer(SOUND, 2.5))
        self.check(HARMLESS, SOUND)
        self.crash(2.4, SOUND)
        self.check(HARMLESS, SOUND)

    def test_a_part_of_requests_that_are_answered_meanwhile_is_not_held(self):
        self.crash(1.0, FIRST, FATAL)
        for number in range(9):
            self.record.evidence.record_answering(f"r{number}", (FIRST,), 1.1, 1.2)
        self.crash(2.0, FIRST, FATAL)
        self.crash(3.0, FIRST, FATAL)
        self.check(HARMLESS, FIRST, now=3.1)
        self.check(HARMFUL, FATAL, FIRST, now=3.1)

    def test_frequent_crashes_without_a_part_speak_for_it(self):
        for number in range(60):
            self.crash(number / 10, make_key(f"other{number}"))
        for at in (2.05, 4.05, 6.05):
            self.crash(at, SOUND, sent_at=at - 1.5)
        self.check(HARMLESS, SOUND, now=6.1)

    def test_parts_always_together_are_held_and_each_alone_is_tried(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, FATAL, SOUND)
        self.check(HARMFUL, FATAL, SOUND, now=3.1)
        self.check(ON_TRIAL, SOUND, now=3.1)
        self.record.record_answer(SOUND, 3.2)
        self.check(HARMLESS, SOUND, now=3.6)
        self.check(HARMFUL, FATAL, now=3.6)

    def test_what_ran_beside_a_held_part_is_excused(self):
        self.crash(1.0, FATAL, SOUND)
        self.crash(2.0, FATAL, SOUND)
        self.crash(3.0, FATAL)
        self.check(HARMFUL, FATAL, now=3.1)
        self.assertEqual(self.record.evidence.list_crashes(SOUND, 3.1), [])

    def test_a_part_held_for_one_workspace_is_tried_for_another(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, FATAL)
        self.check(HARMFUL, FATAL, now=3.1)
        self.check(HARMFUL, FATAL, now=9.5, workspace="w")
        self.check(ON_TRIAL, FATAL, now=9.5, workspace="another")
        self.crash(9.6, FATAL, workspaces=("another",))
        self.check(HARMFUL, FATAL, now=17.0, workspace="a third")

    def test_a_part_held_for_one_model_needs_one_crash_of_another(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, FATAL)
        self.check(HARMFUL, FATAL, now=3.1)
        elsewhere = make_key("fatal", "service/another")
        self.check(ON_TRIAL, elsewhere, now=3.1)
        self.crash(4.0, elsewhere)
        self.check(HARMFUL, elsewhere, now=4.1)

    def test_each_trial_that_fails_is_followed_by_a_longer_hold(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, FATAL)
        self.check(HARMFUL, FATAL, now=32.0, workspace="w")
        self.check(ON_TRIAL, FATAL, now=34.0, workspace="w")
        self.crash(34.2, FATAL)
        self.check(HARMFUL, FATAL, now=633.0, workspace="w")
        self.check(ON_TRIAL, FATAL, now=635.0, workspace="w")
        self.record.record_answer(FATAL, 635.0)
        self.check(HARMLESS, FATAL, now=636.0)

    def test_an_upstream_that_proves_alive_has_not_crashed(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, FATAL)
        self.record.record_alive("u2.0")
        self.check(DOUBTFUL, FATAL)


class ExchangeTest(RecordCase):
    def merge(self, record, now=3.2):
        """Merge all that this record knows into another one, as if sent."""
        report = self.record.report(now)
        plain = [getattr(report, name) for name in ("crashed", "ends", "answers")]
        return record.merge(part_reports.decode_report(*plain, report.held), now)

    def test_another_record_holds_what_it_is_told(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, FATAL)
        self.check(HARMFUL, FATAL, now=3.1)
        other = harmful_parts.Record()
        self.assertTrue(self.merge(other).held)
        self.assertFalse(self.merge(other))
        found = other.evaluate((FATAL,), 3.3, "w", judges_since=math.inf)
        self.assertIs(found.verdict, HARMFUL)

    def test_groups_only_shrink(self):
        other = harmful_parts.Record()
        for at in (1.0, 2.0, 3.0):
            self.crash(at, FATAL, SOUND)
            self.crash(at, FATAL, SOUND, record=other)
        self.check(HARMFUL, FATAL, SOUND, now=3.1)
        other.evaluate((FATAL, SOUND), 3.1)
        self.record.record_answer(SOUND, 3.05)
        self.merge(other)
        other.merge(
            part_reports.Report(answers=(("service/model", "sound", 0.1),)), 3.2
        )
        other.merge(
            part_reports.Report(held=(("service/model", ("fatal", "sound")),)), 3.2
        )
        self.assertEqual(other.list_held(), [frozenset((FATAL,))])

    def test_a_part_is_not_held_for_crashes_before_the_answers_were_heard_of(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, SOUND)
        self.check(DOUBTFUL, SOUND, now=3.1, judges_since=2.5)
        for at in (4.0, 5.0):
            self.crash(at, SOUND)
        self.check(HARMFUL, SOUND, now=5.1, judges_since=2.5)

    def test_a_hold_that_contradicts_what_is_known_is_not_taken_over(self):
        other = harmful_parts.Record()
        for at in (1.0, 2.0, 3.0):
            self.crash(at, FATAL, SOUND)
            self.crash(at, SOUND, record=other)
        self.crash(3.5, FATAL)
        self.check(HARMFUL, FATAL, now=3.6)
        self.record.record_answer(SOUND, 2.95)
        self.crash(4.0, SOUND, record=other)
        self.assertIs(other.evaluate((SOUND,), 4.1).verdict, HARMFUL)
        self.record.merge(other.report(4.1), 4.1)
        self.assertEqual(self.record.list_held(), [frozenset((FATAL,))])

    def test_malformed_reports_are_refused(self):
        for ends in ([("c", "p", "u", (), 0.0)], [("c", "p", "u", (), -1.0, 0.0)], 5):
            with self.subTest(ends), self.assertRaises(ValueError):
                part_reports.decode_report((), ends, (), ())
        with self.assertRaises(ValueError):
            part_reports.decode_report((), (), (), [("c", ["x" * 400])])


class ScheduleTest(unittest.TestCase):
    def test_parts_that_crash_upstreams_are_soon_held(self):
        asked = wrong = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = parts_world.play(seed)
                self.assertEqual(world.list_breaches(), [])
                asked += world.asked
                wrong += world.wrong
        self.assertLess(wrong, WRONG_SHARE * asked)

    def test_crashes_of_other_causes_hold_nothing(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(parts_world.play(seed, fatal=False).wrong, 0)


if __name__ == "__main__":
    unittest.main()
