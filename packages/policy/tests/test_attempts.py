"""Attempts: at most once, right caller, complete answers, budgets, removals."""

import dataclasses
import unittest

from packages.policy.tests import drivers
from trestlestall.configuration import model
from trestlestall.membership import upstreams
from trestlestall.policy import (
    actions,
    arrivals,
    budgets,
    outcomes,
    router_policy,
    settings,
)

QUESTION = model.RequestClass("question", 0, 20.0, None, True, 0.05)
ALERT = model.RequestClass("alert", 1, 20.0, None, False, 0.05)
KINDS = ((0.7, 50), (0.3, 200))


def make_view(*names, resume=False, **options):
    return arrivals.View(
        tuple(
            upstreams.Upstream(
                name,
                1,
                "a",
                "127.0.0.1:1",
                models=("m",),
                capabilities=upstreams.Capabilities(True, True, resume),
                slots=4,
            )
            for name in names
        ),
        **options,
    )


def arrive(policy, name, request_class, view, stream=True, now=0.0):
    arrival = arrivals.Arrival(
        name, "w", 1.0, "m", request_class, 9, 300, "", now, stream
    )
    return policy.arrive(arrival, view, now)


class FaultyLoadTest(unittest.TestCase):
    """Crashes, refused connections, stalls and drains under a mixed load."""

    def run_faulty(self, seed):
        rng = drivers.make_rng(seed)
        load = drivers.make_load(rng, QUESTION, 4, 0, 40, KINDS, wait_timeout=0.8)
        load += drivers.make_load(rng, ALERT, 3, 0, 40, KINDS)
        driver = drivers.Driver(
            drivers.make_policies(seed, 2),
            drivers.make_engines(5, resume=seed % 2 == 0),
        )
        removed_at = {}
        for stop in range(2, 50, 2):
            part = [item for item in load if stop - 2 <= item[0].now < stop]
            part = [(a, n, rng.randrange(2), p) for a, n, _, p in part]
            driver.run(part, stop)
            name = f"u{rng.randrange(4)}"
            fault = rng.choice(["crash", "refuse", "stall", "well", "leave"])
            engine = driver.engines[name]
            engine.alive = fault != "refuse"
            engine.pace = 0.02 if fault == "stall" else 1.0
            if fault == "crash":
                driver.crash(name)
            if fault == "leave" and name not in removed_at and len(removed_at) < 2:
                removed_at[name] = driver.now
                (driver.hidden if stop % 4 else driver.drains).add(name)
        driver.run([], 80)
        return driver, removed_at

    def test_promises_hold_under_faults(self):
        sends = retries = 0
        for seed in range(8):
            driver, removed_at = self.run_faulty(seed)
            for name, record in driver.records.items():
                if not record.arrival.request_class.idempotent:
                    self.assertLessEqual(len(record.may_have_run), 1, name)
                if record.ended == "not_run":
                    self.assertEqual([], record.may_have_run, name)
                self.assertFalse(record.spliced, name)
                self.assertTrue(record.ended, name)
            for now, _, action in driver.sends:
                left = removed_at.get(action.upstream, 99)
                self.assertLessEqual(now, left + driver.step, action)
            sends += len(driver.sends)
            retries += sum(
                max(0, len(record.may_have_run) - 1)
                for record in driver.records.values()
            )
        self.assertGreater(retries, 5)
        # The token buckets of two routers start half full in each of eight runs.
        self.assertLessEqual(retries, 0.1 * sends + 8 * 2 * 10)


class RetryTest(unittest.TestCase):
    def test_what_follows_an_attempt_that_ended(self):
        """Each row: class, stream, tokens, outcome, can resume; expected actions."""
        broken, not_sent = outcomes.Broken(), outcomes.NotSent()
        table = [
            (QUESTION, True, 0, not_sent, False, [actions.Send]),
            (ALERT, True, 0, not_sent, False, [actions.Send]),
            (QUESTION, True, 0, broken, False, [actions.Send]),
            (ALERT, True, 0, broken, True, [actions.Fail]),
            (QUESTION, True, 5, broken, False, [actions.Wasted, actions.Fail]),
            (QUESTION, True, 5, broken, True, [actions.Resume]),
            (QUESTION, False, 5, broken, True, [actions.Wasted, actions.Send]),
            (ALERT, True, 5, broken, True, [actions.Wasted, actions.Fail]),
        ]
        for request_class, stream, tokens, outcome, resume, expected in table:
            with self.subTest(row=(request_class.name, stream, tokens, outcome)):
                policy = router_policy.Policy(1)
                view = make_view("u1", "u2", resume=resume)
                decided = arrive(policy, "r", request_class, view, stream)
                if decided == [actions.RequestClaim("r")]:
                    decided = policy.claim_answered("r", True, 0.01)
                [first] = decided
                if tokens:
                    policy.progress(first.attempt, tokens, 0.2)
                decided = policy.finish(first.attempt, outcome, tokens, 0.3)
                self.assertEqual(expected, [type(action) for action in decided])
                last = decided[-1]
                if isinstance(last, actions.Send):
                    self.assertNotEqual(first.upstream, last.upstream)
                if isinstance(last, actions.Resume):
                    self.assertEqual((5, first.attempt), (last.tokens, last.previous))
                if isinstance(last, actions.Fail):
                    self.assertEqual(actions.OUTCOME_UNKNOWN, last.code)

    def test_a_stream_is_resumed_only_at_the_version_that_began_it(self):
        """Guards against a stream that holds tokens of two software versions."""
        for version, expected in (("v1", [actions.Resume]), ("v2", [actions.Fail])):
            policy = router_policy.Policy(1)
            one, other = make_view("u1", "u2", resume=True).upstreams
            one = dataclasses.replace(one, version="v1")
            [first] = arrive(policy, "r", QUESTION, arrivals.View((one,)))
            policy.progress(first.attempt, 5, 0.2)
            other = dataclasses.replace(other, version=version)
            policy.tick(arrivals.View((other,)), 0.25)
            decided = policy.finish(first.attempt, outcomes.Broken(), 5, 0.3)
            kinds = [
                type(one) for one in decided if not isinstance(one, actions.Wasted)
            ]
            self.assertEqual(kinds, expected)

    def test_a_request_that_may_have_run_never_fails_as_not_run(self):
        policy = router_policy.Policy(1)
        view = make_view("u1")
        [first] = arrive(policy, "r", QUESTION, view)
        policy.finish(first.attempt, outcomes.Broken(), 0, 0.1)
        decided = policy.tick(arrivals.View(), 30.0)
        fails = [action for action in decided if isinstance(action, actions.Fail)]
        codes = [action.code for action in fails]
        self.assertIn(codes, ([actions.OUTCOME_UNKNOWN], []))

    def test_late_answers_are_dropped_and_counted_as_wasted(self):
        policy = router_policy.Policy(1)
        [first] = arrive(policy, "r", QUESTION, make_view("u1"))
        policy.hang_up("r", 0.1)
        self.assertEqual([], policy.progress(first.attempt, 3, 0.2))
        late = policy.finish(first.attempt, outcomes.Completed(), 9, 0.3)
        self.assertEqual([actions.Wasted(first.attempt, 9)], late)

    def test_a_budget_limits_retries(self):
        budget = budgets.Budget(0.1, 2)
        taken = 0
        for _ in range(1000):
            budget.fill()
            taken += budget.take()
        self.assertLessEqual(taken, 101)
        self.assertGreaterEqual(taken, 99)


class HedgeTest(unittest.TestCase):
    def run_with_straggler(self, request_class, share):
        rng = drivers.make_rng(4)
        load = drivers.make_load(rng, request_class, 9, 0, 30, ((1.0, 60),))
        adjusted = settings.Settings(budget_ratio=share, budget_capacity=6.0)
        driver = drivers.Driver(
            [router_policy.Policy(4, adjusted)], drivers.make_engines(4, slots=16)
        )
        early = [item for item in load if item[0].now < 10]
        driver.run(early, 10)
        driver.engines["u1"].pace = 0.0
        driver.run([item for item in load if item[0].now >= 10], 45)
        hedged = [r for r in driver.records.values() if len(r.sent) > 1]
        return driver, hedged

    def test_requests_at_a_stalled_upstream_are_hedged_within_the_budget(self):
        driver, hedged = self.run_with_straggler(QUESTION, 0.1)
        self.assertGreater(len(hedged), 0)
        self.assertLessEqual(len(hedged), 3 + 0.1 * len(driver.sends))
        self.assertTrue(any(record.ended == "answered" for record in hedged))
        cancelled = {
            a.attempt for _, _, a in driver.log if isinstance(a, actions.Cancel)
        }
        for record in hedged:
            losers = set(record.sent) - {record.answering}
            self.assertTrue(losers <= cancelled)

    def test_no_hedge_without_budget_or_for_at_most_once(self):
        self.assertEqual([], self.run_with_straggler(ALERT, 0.1)[1])


class GoneTest(unittest.TestCase):
    """Requests whose upstream, or all upstreams of whose target, left the view."""

    def tick_for(self, policy, view, begin, seconds):
        """Return the actions of some seconds of ticks, each with its time."""
        times = [begin + number / 10 for number in range(round(seconds * 10))]
        return [(now, one) for now in times for one in policy.tick(view, now)]

    def send_one(self, request_class):
        """Return a policy, and its ``Send`` to one of two upstreams."""
        policy = router_policy.Policy(1)
        [first] = arrive(policy, "r", request_class, make_view("u1", "u2"))
        if isinstance(first, actions.RequestClaim):
            [first] = policy.claim_answered("r", True, 0.0)
        return policy, first

    def test_a_request_without_a_token_leaves_an_upstream_that_is_gone(self):
        # Stragglers are detected only among upstreams in the view. Without the check
        # for missing ones the request stayed there until its caller disconnected.
        policy, first = self.send_one(QUESTION)
        left = {"u1", "u2"} - {first.upstream}
        decided = self.tick_for(policy, make_view(*left), 1.0, 60.0)
        [(now, hedge)] = decided
        self.assertEqual((hedge.request, {hedge.upstream}), ("r", left))
        self.assertLess(now, 1.0 + settings.DEFAULT.stall_time + 0.5)

    def test_a_stall_of_the_router_is_no_silence_of_the_upstream(self):
        # Regression: a router that was held up hedged what it had just sent.
        now = 1.3 * settings.DEFAULT.stall_time
        for stalled_seconds, hedges in ((0.0, 1), (now, 0)):
            with self.subTest(stalled_seconds):
                view = make_view("u1", "u2")
                policy = router_policy.Policy(1)
                arrive(policy, "r", QUESTION, view)
                policy.discount_stall(stalled_seconds)
                decided = policy.tick(view, now)
                sent = [one for one in decided if isinstance(one, actions.Send)]
                self.assertEqual(len(sent), hedges)

    def test_an_upstream_that_is_back_in_view_keeps_its_request(self):
        policy, first = self.send_one(QUESTION)
        left = {"u1", "u2"} - {first.upstream}
        both, one = make_view("u1", "u2"), make_view(*left)
        decided = self.tick_for(policy, one, 1.0, 0.8)
        decided += self.tick_for(policy, both, 1.8, 0.2)
        decided += self.tick_for(policy, one, 2.0, 0.8)
        self.assertEqual(decided, [])

    def test_an_at_most_once_request_is_not_hedged(self):
        policy, first = self.send_one(ALERT)
        left = {"u1", "u2"} - {first.upstream}
        self.assertEqual(self.tick_for(policy, make_view(*left), 1.0, 60.0), [])

    def fill_and_wait(self, policy, view):
        """Send six requests, of which four run and the last two wait.

        Return the actions for each.
        """
        return [arrive(policy, f"r{number}", QUESTION, view) for number in range(6)]

    def test_waiting_requests_are_refused_soon_after_the_last_upstream_left(self):
        # Without the check they waited until their deadline, 20 s.
        policy = router_policy.Policy(1)
        decided = self.fill_and_wait(policy, make_view("u1"))
        self.assertEqual([len(one) for one in decided], [1, 1, 1, 1, 0, 0])
        decided = self.tick_for(policy, arrivals.View(), 1.0, 5.0)
        fails = [(now, one) for now, one in decided if isinstance(one, actions.Fail)]
        self.assertEqual({one.request for _, one in fails}, {"r4", "r5"})
        for now, one in fails:
            self.assertEqual(one.code, actions.NOT_RUN)
            self.assertGreater(one.retry_after, 0)
            self.assertLess(now, 1.0 + settings.DEFAULT.unserved_grace + 0.2)

    def test_waiting_requests_go_on_where_another_upstream_follows(self):
        policy = router_policy.Policy(1)
        self.fill_and_wait(policy, make_view("u1"))
        self.tick_for(policy, arrivals.View(), 1.0, 0.8)
        decided = self.tick_for(policy, make_view("u2"), 1.8, 1.0)
        sent = {one.request for _, one in decided if isinstance(one, actions.Send)}
        self.assertLessEqual({"r4", "r5"}, sent)
        self.assertFalse([one for _, one in decided if isinstance(one, actions.Fail)])
