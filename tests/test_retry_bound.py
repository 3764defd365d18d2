"""The retries of all gateways stay within their bound while directories are cut apart.

Failure guarded against: two directories that did not reach each other, but both reached
a third one, each granted the whole retry budget, at the same time or one after the
other.
"""

import bisect
import collections
import contextlib
import itertools
import tempfile
import time
import unittest

from tests import directory_cuts, gateways, signalling

RATE = 60.0
RATIO, SLACK, WINDOW_SECONDS = 0.2, 34.0, 6.0
#: Of so many answers of the upstreams while they fail, one is proper.
PROPER_EVERY = 10
FAILING_SECONDS = 9.0
#: Seconds from a cut until directories and gateways have noticed it.
SETTLE_SECONDS = 4.0
ATTEMPTS = 3


def make_document():
    """Return a declaration with one route whose requests may be retried."""
    (route,) = gateways.make_document(5)["routes"]
    return gateways.make_document(
        5, routes=[{**route, "idempotent": True, "attempts": ATTEMPTS}]
    )


class RetryBoundTest(unittest.TestCase):
    gateways = 8
    upstreams = 9

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        temporary = tempfile.TemporaryDirectory(prefix="trestle-")
        folder = self.stack.enter_context(temporary)
        self.system = gateways.Deployment(folder, gateways=self.gateways)
        self.system.settings["retries"] = {
            "ratio": RATIO,
            "slack": SLACK,
            "window_seconds": WINDOW_SECONDS,
        }
        self.cuts = directory_cuts.Cuts(self.system, self.stack)
        self.stack.callback(self.system.stop_all)
        self.is_failing = False
        self.numbers = itertools.count()

    def start(self, apart=()):
        """Start everything; these gateways do not reach the first directory."""
        self.cuts.cut_gateways(apart)
        self.system.start_all()
        self.assertEqual(self.system.declare(make_document()), 200)
        ports = [self.system.ports[name] for name in self.system.names]
        self.started = [
            signalling.Upstream(ports, f"u{number}", self.make_reply)
            for number in range(self.upstreams)
        ]
        for one in self.started:
            self.stack.callback(one.stop)
        self.callers = signalling.Callers(self.system, RATE)
        for name in self.system.gateways:
            gateways.wait_until(lambda one=name: self.serves(one), name)

    def serves(self, name):
        """Return whether a gateway serves a request."""
        return self.callers.ask(name).status == 200

    def make_reply(self, gateway):
        """Return an upstream's reply: while they fail, one in a few is proper."""
        is_proper = not self.is_failing or next(self.numbers) % PROPER_EVERY == 0
        return signalling.Reply(200 if is_proper else 500)

    def play(self, way, kills_first=False):
        """Let upstreams fail while a pair of directories is cut apart."""
        with self.callers.generate_load(self.system.gateways):
            time.sleep(WINDOW_SECONDS / 2)
            self.cuts.cut_pair(way)
            time.sleep(SETTLE_SECONDS)
            self.is_failing = True
            if kills_first:
                time.sleep(FAILING_SECONDS / 3)
                self.system.running[self.cuts.ordered[0]].kill()
            time.sleep(FAILING_SECONDS)
            self.is_failing = False

    def find_worst_window(self):
        """Return the retries of the window nearest to its bound, and the bound."""
        firsts, retries = self.list_sends()
        worst = (0, 1.0)
        for number, end in enumerate(retries):
            spent = number + 1 - bisect.bisect_left(retries, end - WINDOW_SECONDS)
            allowed = self.find_allowed(firsts, end)
            worst = max(worst, (spent, allowed), key=lambda pair: pair[0] / pair[1])
        return worst

    def find_allowed(self, firsts, end):
        """Return how many retries are allowed in the window with this end."""
        counted = (
            bisect.bisect_right(firsts, end - shift)
            - bisect.bisect_left(firsts, end - shift - WINDOW_SECONDS)
            for shift in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
        )
        return RATIO * max(counted) + SLACK

    def list_sends(self):
        """Return the times of callers' requests, and of retries at the upstreams."""
        retries = [at for each in self.group_arrivals().values() for at in each[1:]]
        return sorted(at for at, *_ in self.callers.answers), sorted(retries)

    def group_arrivals(self):
        """Return the times of each request's arrivals at upstreams, in order."""
        arrivals = collections.defaultdict(list)
        for upstream in self.started:
            for one in upstream.list_arrivals():
                arrivals[one.request].append(one.at)
        return {request: sorted(each) for request, each in arrivals.items()}

    def describe_sends(self):
        """Return callers' requests and retries by second, and retries by gateway."""
        firsts, retries = self.list_sends()
        by_second = [
            collections.Counter(int(at - firsts[0]) for at in sends)
            for sends in (firsts, retries)
        ]
        arrivals = self.group_arrivals()
        by_gateway = collections.Counter()
        for _, name, request, _ in self.callers.answers:
            by_gateway[name] += len(arrivals.get(request, [])[1:])
        return f"{by_second}, {by_gateway}"

    def check_bound(self):
        """Check that retries were granted, and no more than the bound allows."""
        spent, allowed = self.find_worst_window()
        self.assertGreater(spent, 0.25 * allowed)
        self.assertLessEqual(spent, allowed)

    def test_without_a_cut_most_of_the_bound_is_granted(self):
        self.start()
        with self.callers.generate_load(self.system.gateways):
            time.sleep(WINDOW_SECONDS)
            self.is_failing = True
            time.sleep(FAILING_SECONDS)
        spent, allowed = self.find_worst_window()
        self.assertGreater(spent, 0.7 * allowed, self.describe_sends())
        self.assertLessEqual(spent, allowed)

    def test_two_directories_grant_while_only_the_third_reaches_both(self):
        self.start(self.system.gateways[::2])
        self.cuts.make_leader(self.cuts.ordered[2])
        self.play("reset")
        self.check_bound()

    def test_two_directories_grant_and_packets_between_them_are_lost(self):
        self.start(self.system.gateways[::2])
        self.cuts.make_leader(self.cuts.ordered[2])
        self.play("hang")
        self.check_bound()

    def test_a_directory_takes_over_from_one_that_it_did_not_reach(self):
        self.start()
        self.cuts.make_leader(self.cuts.ordered[2])
        self.play("reset", kills_first=True)
        self.check_bound()

    def test_a_directory_takes_over_from_one_whose_packets_were_lost(self):
        self.start()
        self.cuts.make_leader(self.cuts.ordered[2])
        self.play("hang", kills_first=True)
        self.check_bound()


if __name__ == "__main__":
    unittest.main()
