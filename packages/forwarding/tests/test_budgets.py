"""Repeated sends stay below a share of the requests in every window, whoever counts."""

import random
import unittest

from trestlestall.forwarding import budgets

BOUND = budgets.Bound(ratio=0.2, slack=8.0, window=10.0, processes=2)


class BudgetTest(unittest.TestCase):
    def test_slack_alone(self):
        budget = budgets.Budget()
        spent = sum(budget.spend(BOUND, 0.0) for _ in range(20))
        self.assertEqual(spent, int(budgets.SPENT_SHARE * 4))

    def test_window_slides(self):
        budget = budgets.Budget()
        while budget.spend(BOUND, 0.0):
            pass
        self.assertFalse(budget.spend(BOUND, 9.9))
        self.assertTrue(budget.spend(BOUND, 10.1))

    def test_two_processes_keep_the_bound_together(self):
        draw = random.Random(3)
        group = [budgets.Budget() for _ in range(BOUND.processes)]
        requests, repeats, now = [], [], 0.0
        for _ in range(4000):
            now += draw.expovariate(draw.choice((5, 50)))
            budget = draw.choice(group)
            if draw.random() < 0.5:
                budget.note_request(now)
                requests.append(now)
            elif budget.spend(BOUND, now):
                repeats.append(now)
        self.assertGreater(len(repeats), 50)
        for end in repeats:
            start = end - BOUND.window
            spent = sum(start < each <= end for each in repeats)
            taken = sum(start < each <= end for each in requests)
            self.assertLessEqual(spent, BOUND.ratio * taken + BOUND.slack)
