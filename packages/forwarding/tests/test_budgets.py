"""What one ledger grants, and which updates ledgers exchange."""

import random
import unittest

from trestlestall.forwarding import budgets, slot_counts

BOUND = budgets.Bound(ratio=0.2, slack=10.0, window=10.0)
COMPLETE, PARTIAL, ALONE = budgets.Coverage
GRANTED, DENIED, LATER = budgets.Verdict
VOTERS = budgets.Voters(frozenset(("d2", "d3")))
VOTERS_OF_D2 = budgets.Voters(frozenset(("d1", "d3")))


def make_ledger(source="d1", is_covered=True):
    """Return a directory's ledger, by default of a deployment that starts."""
    ledger = budgets.Ledger(source, 0.0)
    if is_covered:
        ledger.record_first_start()
    return ledger


def consume_all(ledger, coverage=COMPLETE, now=0.0):
    """Return how many retries are granted, one after the other."""
    consumed = 0
    while ledger.consume("s", BOUND, coverage, now) is GRANTED:
        consumed += 1
    return consumed


def consume_until_later(ledger, voters=VOTERS, now=0.0):
    """Return how many retries are granted before others must acknowledge them."""
    granted = 0
    while (verdict := ledger.consume("s", BOUND, COMPLETE, now, voters)) is GRANTED:
        granted += 1
    assert verdict is LATER, verdict
    return granted


def exchange(one, other, other_name, now):
    """Send the counts of one ledger to another; return the answer."""
    counts = one.collect_counts(other_name, now)
    answer = other.handle_counts(counts, BOUND.window, now)
    one.handle_acknowledgement(other_name, answer, now)
    return answer


class LedgerTest(unittest.TestCase):
    def test_slack_alone(self):
        self.assertEqual(consume_all(make_ledger()), int(budgets.SHARES[COMPLETE] * 10))

    def test_requests_allow_retries_by_coverage(self):
        for coverage in budgets.Coverage:
            ledger = make_ledger()
            for _ in range(1000):
                ledger.record_request("s", 0.0)
            slack = BOUND.slack if coverage is COMPLETE else 0.0
            allowed = budgets.SHARES[coverage] * (BOUND.ratio * 1000 + slack)
            self.assertEqual(consume_all(ledger, coverage), int(allowed))

    def test_the_shares_of_one_window_stay_within_the_bound(self):
        shares = sum(budgets.SHARES.values()) + budgets.UNACKNOWLEDGED_SHARE
        self.assertLessEqual(shares, 1.0)
        of_slack = budgets.SHARES[COMPLETE] + budgets.UNACKNOWLEDGED_SLACK_SHARE
        self.assertLessEqual(of_slack, 1.0)

    def test_window_slides(self):
        ledger = make_ledger()
        consume_all(ledger)
        self.assertIs(ledger.consume("s", BOUND, COMPLETE, 9.9), DENIED)
        after = BOUND.window + 2 * slot_counts.SLOT_SECONDS
        self.assertIs(ledger.consume("s", BOUND, COMPLETE, after), GRANTED)

    def test_old_counts_expire_unread(self):
        ledger = make_ledger()
        for step in range(10_000):
            ledger.record_request("s", step * slot_counts.SLOT_SECONDS)
        kept = budgets.LONGEST_WINDOW / slot_counts.SLOT_SECONDS
        self.assertLessEqual(len(ledger.table), kept + 2)
        self.assertLessEqual(len(ledger.collect_counts("d2", 10_000.0).rows), kept + 2)

    def test_services_have_budgets_of_their_own(self):
        ledger = make_ledger()
        consume_all(ledger)
        self.assertIs(ledger.consume("t", BOUND, COMPLETE, 0.0), GRANTED)

    def test_a_window_is_known_once_it_has_passed(self):
        for now, is_complete in ((0.0, False), (9.9, False), (10.0, True)):
            ledger = make_ledger(is_covered=False)
            self.assertEqual(ledger.is_complete(BOUND.window, now), is_complete)

    def test_unacknowledged_grants_are_bounded(self):
        ledger = make_ledger()
        for _ in range(1000):
            ledger.record_request("s", 0.0)
        voters = budgets.Voters(frozenset(("d2", "d3", "d4", "d5")))
        allowed = BOUND.find_unseen(1000) / len(voters.others)
        granted = consume_until_later(ledger, voters)
        self.assertEqual(granted, int(allowed) + 1)
        exchange(ledger, make_ledger("d2"), "d2", 0.0)
        self.assertIs(ledger.consume("s", BOUND, COMPLETE, 0.0, voters), LATER)
        exchange(ledger, make_ledger("d3"), "d3", 0.0)
        self.assertIs(ledger.consume("s", BOUND, COMPLETE, 0.0, voters), GRANTED)
        ledger.remove_peer("d3")
        self.assertIs(ledger.consume("s", BOUND, COMPLETE, 0.0, voters), LATER)

    def test_who_does_not_vote_acknowledges_nothing(self):
        ledger = make_ledger()
        consume_until_later(ledger)
        for name in ("x1", "x2", "x3"):
            exchange(ledger, make_ledger(name), name, 0.0)
        self.assertIs(ledger.consume("s", BOUND, COMPLETE, 0.0, VOTERS), LATER)

    def test_a_directory_that_does_not_vote_needs_a_majority_of_those_that_do(self):
        ledger = make_ledger()
        voters = budgets.Voters(frozenset(("d2", "d3", "d4")), includes_own=False)
        consume_until_later(ledger, voters)
        exchange(ledger, make_ledger("d2"), "d2", 0.0)
        self.assertIs(ledger.consume("s", BOUND, COMPLETE, 0.0, voters), LATER)
        exchange(ledger, make_ledger("d3"), "d3", 0.0)
        self.assertIs(ledger.consume("s", BOUND, COMPLETE, 0.0, voters), GRANTED)


class ExchangeTest(unittest.TestCase):
    def test_a_successor_learns_what_a_third_one_acknowledged(self):
        first, second, third = make_ledger("d1"), make_ledger("d2"), make_ledger("d3")
        consumed = consume_all(first, now=1.0)
        exchange(first, third, "d3", 1.0)
        self.assertEqual(second.count("s", BOUND, 1.1), (0, 0))
        granted = consume_until_later(second, now=1.1)
        exchange(second, third, "d3", 1.1)
        self.assertEqual(second.count("s", BOUND, 1.2), (0, consumed + granted))
        self.assertIs(second.consume("s", BOUND, COMPLETE, 1.2), DENIED)

    def test_counts_that_were_lost_are_not_acknowledged_by_later_ones(self):
        first, third = make_ledger("d1"), make_ledger("d3")
        first.consume("s", BOUND, COMPLETE, 0.0)
        lost = first.collect_counts("d3", 0.0)
        self.assertTrue(lost.rows)
        first.consume("s", BOUND, COMPLETE, 1.0)
        exchange(first, third, "d3", 1.0)
        self.assertEqual(third.count("s", BOUND, 1.0), (0, 2))
        self.assertEqual(first.list_acknowledged(), {"d3": 2})

    def test_an_answer_that_was_lost_is_given_again(self):
        first, third = make_ledger("d1"), make_ledger("d3")
        consume_all(third)
        first.record_request("s", 0.0)
        counts = first.collect_counts("d3", 0.0)
        third.handle_counts(counts, BOUND.window, 0.0)
        exchange(first, third, "d3", 1.0)
        self.assertEqual(first.count("s", BOUND, 1.0), third.count("s", BOUND, 1.0))

    def test_what_was_heard_is_not_sent_again(self):
        first, third = make_ledger("d1"), make_ledger("d3")
        consume_all(third)
        self.assertTrue(exchange(first, third, "d3", 0.0).rows)
        self.assertEqual(exchange(first, third, "d3", 0.0).rows, ())

    def test_a_process_that_restarts_acknowledges_nothing_of_the_one_before(self):
        first, third = make_ledger("d1"), make_ledger("d3")
        first.consume("s", BOUND, COMPLETE, 0.0)
        exchange(first, third, "d3", 0.0)
        restarted = make_ledger("d3#2")
        first.consume("s", BOUND, COMPLETE, 1.0)
        exchange(first, restarted, "d3", 1.0)
        self.assertEqual(first.list_acknowledged(), {"d3": 0})
        exchange(first, restarted, "d3", 1.0)
        self.assertEqual(first.list_acknowledged(), {"d3": 2})
        self.assertEqual(restarted.count("s", BOUND, 1.0), (0, 2))

    def test_a_process_that_restarted_is_complete_once_enough_others_have_answered(
        self,
    ):
        restarted = make_ledger("d1", is_covered=False)
        others = frozenset(("d2", "d3", "d4", "d5"))
        voters = budgets.Voters(others)
        for count, name in enumerate(sorted(others), start=1):
            exchange(restarted, make_ledger(name), name, 0.1)
            is_complete = restarted.is_complete(BOUND.window, 0.1, voters)
            self.assertEqual(is_complete, count >= 3)

    def test_processes_that_restarted_do_not_make_each_other_complete(self):
        names = ("d1", "d2", "d3")
        ledgers = {name: make_ledger(name, is_covered=False) for name in names}
        for name, ledger in ledgers.items():
            for other in names:
                if other != name:
                    exchange(ledger, ledgers[other], other, 1.0)
            self.assertFalse(ledger.is_complete(BOUND.window, 1.0, VOTERS))
            coverage = ledger.find_coverage(BOUND, 1.0, VOTERS)
            self.assertIs(coverage, PARTIAL)

    def test_an_acknowledgement_by_an_incomplete_peer_does_not_count(self):
        ledger = make_ledger()
        consume_until_later(ledger)
        exchange(ledger, make_ledger("d2", is_covered=False), "d2", 0.0)
        self.assertEqual(ledger.list_acknowledged(), {"d2": 0})
        self.assertIs(ledger.find_coverage(BOUND, 0.0, VOTERS), PARTIAL)

    def test_coverage_is_partial_while_no_majority_is_linked(self):
        ledger = make_ledger()
        self.assertIs(ledger.find_coverage(BOUND, 0.0, VOTERS), PARTIAL)
        exchange(ledger, make_ledger("d2"), "d2", 0.0)
        self.assertIs(ledger.find_coverage(BOUND, 0.0, VOTERS), COMPLETE)
        ledger.remove_peer("d2")
        self.assertIs(ledger.find_coverage(BOUND, 0.0, VOTERS), PARTIAL)

    def test_an_answer_to_another_process_is_ignored(self):
        ledger, third = make_ledger("d1#2"), make_ledger("d3")
        counts = make_ledger("d1#1").collect_counts("d3", 0.0)
        answer = third.handle_counts(counts, BOUND.window, 0.0)
        ledger.handle_acknowledgement("d3", answer, 0.0)
        self.assertEqual(ledger.list_acknowledged(), {})

    def test_a_count_keeps_its_earliest_time(self):
        first, second = make_ledger("d1"), make_ledger("d2")
        first.record_request("s", 0.0)
        counts = first.collect_counts("d2", 0.0)
        second.handle_counts(counts, BOUND.window, 8.0)
        self.assertEqual(second.count("s", BOUND, 8.0), (1, 0))
        second.handle_counts(counts, BOUND.window, 0.0)
        self.assertEqual(second.count("s", BOUND, 11.0), (0, 0))

    def test_retries_are_due_at_once_and_requests_after_their_slot(self):
        ledger, other = make_ledger(), make_ledger("d2")
        self.assertFalse(ledger.is_due("d2", 0.1))
        exchange(ledger, other, "d2", 0.1)
        ledger.record_request("s", 0.1)
        self.assertFalse(ledger.is_due("d2", 0.2))
        self.assertTrue(ledger.is_due("d2", slot_counts.SLOT_SECONDS))
        exchange(ledger, other, "d2", slot_counts.SLOT_SECONDS)
        self.assertFalse(ledger.is_due("d2", 9.0))
        ledger.consume("s", BOUND, COMPLETE, 9.0)
        self.assertTrue(ledger.is_due("d2", 9.0))
        self.assertEqual(exchange(ledger, other, "d2", 9.0).granted, 1)
        self.assertFalse(ledger.is_due("d2", 9.0))
        # The slot has a retry, but the new request in it can wait.
        ledger.record_request("s", 9.1)
        self.assertFalse(ledger.is_due("d2", 9.1))
        self.assertTrue(ledger.is_due("d2", 9.0 + slot_counts.SLOT_SECONDS))

    def test_what_is_not_acknowledged_is_due_again_in_the_next_slot(self):
        ledger = make_ledger()
        ledger.consume("s", BOUND, COMPLETE, 0.0)
        ledger.collect_counts("d2", 0.0)
        self.assertFalse(ledger.is_due("d2", 0.1))
        self.assertTrue(ledger.is_due("d2", slot_counts.SLOT_SECONDS))

    def test_every_order_gives_one_ledger(self):
        draw = random.Random(5)
        for _ in range(100):
            ledger = make_ledger()
            sent = []
            for step in range(20):
                now = step * 0.2
                for _ in range(draw.randrange(4)):
                    ledger.record_request("s", now)
                ledger.consume("s", BOUND, COMPLETE, now)
                sent.append((ledger.collect_counts("d2", now), now))
            repeated = sent * 2
            draw.shuffle(repeated)
            other = make_ledger("d2")
            for counts, now in repeated:
                other.handle_counts(counts, BOUND.window, now)
            counted = ledger.count("s", BOUND, 9.0)
            self.assertEqual(other.count("s", BOUND, 9.0), counted)

    def test_rows_survive_encoding(self):
        ledger = make_ledger()
        ledger.consume("s", BOUND, COMPLETE, 0.0)
        rows = ledger.collect_counts("d2", 0.0).rows
        encoded = [list(row) for row in rows]
        self.assertEqual(slot_counts.decode_rows(encoded), rows)

    def test_invalid_rows_are_refused(self):
        bad = (None, (), ("s", 4, 0.5, 3), (1, 4, 0.5, 3, 1), ("s", 4, -1.0, 3, 1))
        bad += (("s", 4, 0.5, -3, 1), ("s", 4, 0.5, 3, True), ("s", 4, "x", 3, 1))
        bad += (("s", 4, float("nan"), 3, 1), ("s", 4, float("inf"), 3, 1))
        cases = [("d", *one) for one in bad[1:]]
        cases += [None, (), (3, "s", 4, 0.5, 3, 1)]
        for case in cases:
            with self.subTest(case=case), self.assertRaises(ValueError):
                slot_counts.decode_rows([case])


class EarlierBuildTest(unittest.TestCase):
    """Directories of an earlier build acknowledge without their own counts."""

    def test_it_is_sent_and_acknowledges_what_is_granted(self):
        ledger = make_ledger()
        ledger.record_earlier_build("d2")
        granted = consume_until_later(ledger)
        update = ledger.collect_update("d2", 0.0)
        self.assertEqual((update.granted, update.known), (granted, 0.0))
        self.assertEqual(sum(tally[-1] for tally in update.tallies), granted)
        ledger.record_acknowledgement("d2", granted)
        self.assertIs(ledger.consume("s", BOUND, COMPLETE, 0.0, VOTERS), GRANTED)

    def test_its_snapshot_counts_as_an_answer(self):
        first, second = make_ledger("d1"), make_ledger("d2", is_covered=False)
        consumed = consume_all(first, now=1.0)
        exchange(second, make_ledger("d3"), "d3", 2.0)
        for update in first.list_snapshot(BOUND.window, 2.0):
            second.merge_update("d1", update, 2.1)
        voters = budgets.Voters(frozenset(("d1", "d3")))
        self.assertTrue(second.is_complete(BOUND.window, 2.1, voters))
        self.assertEqual(second.count("s", BOUND, 2.1), (0, consumed))

    def test_only_the_last_message_completes_a_snapshot(self):
        first, second = make_ledger("d1"), make_ledger("d2", is_covered=False)
        exchange(make_ledger("d3"), first, "d1", 0.0)
        consume_all(first)
        first.handle_counts(make_counts("d3"), BOUND.window, 0.0)
        *others, last = first.list_snapshot(BOUND.window, 2.0)
        self.assertTrue(others)
        for update in others:
            second.merge_update("d1", update, 2.0)
        self.assertIs(second.find_coverage(BOUND, 2.0, VOTERS_OF_D2), PARTIAL)
        second.merge_update("d1", last, 2.0)
        exchange(second, make_ledger("d3"), "d3", 2.0)
        self.assertIs(second.find_coverage(BOUND, 2.0, VOTERS_OF_D2), COMPLETE)

    def test_updates_survive_encoding(self):
        ledger = make_ledger("d3")
        ledger.consume("s", BOUND, COMPLETE, 0.0)
        update = ledger.collect_update("d2", 0.0)
        tallies = [list(one) for one in update.tallies]
        fields = (update.source, update.known, tallies, update.granted)
        self.assertEqual(slot_counts.decode_update(*fields), update)

    def test_invalid_updates_are_refused(self):
        good = ("s", 4, 0.5, 3, 1)
        bad = (None, (), ("s", 4, 0.5, 3), (1, 4, 0.5, 3, 1), ("s", 4, -1.0, 3, 1))
        bad += (("s", 4, 0.5, -3, 1), ("s", 4, 0.5, 3, True), ("s", 4, "x", 3, 1))
        bad += (("s", 4, float("nan"), 3, 1), ("s", 4, float("inf"), 3, 1))
        cases = [("d", 0.0, [good, one], 0) for one in bad]
        cases += [(3, 0.0, [], 0), ("d", -1.0, [], 0), ("d", 0.0, [], -1)]
        for case in cases:
            with self.subTest(case=case), self.assertRaises(ValueError):
                slot_counts.decode_update(*case)


def make_counts(source):
    """Return a source's counts with one slot."""
    ledger = make_ledger(source)
    ledger.record_request("s", 0.0)
    ledger.consume("s", BOUND, COMPLETE, 0.0)
    return ledger.collect_counts("d2", 0.0)
