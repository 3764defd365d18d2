"""Repeated sends stay below a share of the requests in every window, whoever counts."""

import random
import unittest

from trestlestall.forwarding import budgets

BOUND = budgets.Bound(ratio=0.2, slack=8.0, window=10.0)
PROCESSES = 2


def make_ledger():
    """Return the ledger of one of two processes that share the slack."""
    ledger = budgets.Ledger()
    ledger.note_processes(PROCESSES, 0.0)
    return ledger


class LedgerTest(unittest.TestCase):
    def test_slack_alone(self):
        ledger = make_ledger()
        spent = sum(ledger.spend("s", BOUND, 0.0) for _ in range(20))
        self.assertEqual(spent, int(budgets.SPENT_SHARE * 4))

    def test_window_slides(self):
        ledger = make_ledger()
        while ledger.spend("s", BOUND, 0.0):
            pass
        self.assertFalse(ledger.spend("s", BOUND, 9.9))
        self.assertTrue(ledger.spend("s", BOUND, 10.1))

    def test_services_have_budgets_of_their_own(self):
        ledger = make_ledger()
        while ledger.spend("s", BOUND, 0.0):
            pass
        self.assertTrue(ledger.spend("t", BOUND, 0.0))

    def test_two_processes_keep_the_bound_together(self):
        draw = random.Random(3)
        group = [make_ledger() for _ in range(PROCESSES)]
        requests, repeats, now = [], [], 0.0
        for _ in range(4000):
            now += draw.expovariate(draw.choice((5, 50)))
            ledger = draw.choice(group)
            if draw.random() < 0.5:
                ledger.note_request("s", now)
                requests.append(now)
            elif ledger.spend("s", BOUND, now):
                repeats.append(now)
        self.assertGreater(len(repeats), 50)
        for end in repeats:
            start = end - BOUND.window
            spent = sum(start < each <= end for each in repeats)
            taken = sum(start < each <= end for each in requests)
            self.assertLessEqual(spent, BOUND.ratio * taken + BOUND.slack)
