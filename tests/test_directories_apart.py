"""What one directory counts for all holds while two place, and reach only a third.

Failure guarded against: two directories that do not reach each other each take what
they know for all there is, as they did with retries (``test_retry_bound``).
"""

import contextlib
import itertools
import tempfile
import time
import unittest

from tests import (
    crashing,
    directory_cuts,
    gateways,
    signalling,
    test_crashing_requests,
    test_stated_limits,
)

#: Seconds from a cut until directories and gateways have noticed it.
SETTLE_SECONDS = 4.0
GATEWAYS = 4


class ApartCase(unittest.TestCase):
    """A deployment in which half of the gateways do not reach the first directory."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        temporary = tempfile.TemporaryDirectory(prefix="trestle-")
        folder = self.stack.enter_context(temporary)
        self.system = gateways.Deployment(folder, gateways=GATEWAYS)
        self.cuts = directory_cuts.Cuts(self.system, self.stack)
        self.cuts.cut_gateways(self.system.gateways[::2])
        self.stack.callback(self.system.stop_all)
        self.system.start_all()
        document = gateways.make_document(5)
        document["routes"][0].update(idempotent=True, attempts=2)
        self.assertEqual(self.system.declare(document), 200)
        self.ports = [self.system.ports[name] for name in self.system.names]
        self.numbers = itertools.count()

    def cut(self):
        """Cut the two directories that gateways ask from each other."""
        self.cuts.make_leader(self.cuts.ordered[2])
        self.cuts.cut_pair("reset")
        time.sleep(SETTLE_SECONDS)

    def ask(self, gateway, body):
        """Send a request under a new id; return the status."""
        request = f"r{next(self.numbers)}"
        return self.system.ask(gateway, request, body=body)

    def wait_until_served(self):
        """Wait until each gateway serves."""
        for name in self.system.gateways:
            gateways.wait_until(lambda one=name: self.ask(one, b"x") == 200, name)


class LimitTest(ApartCase):
    def test_an_advertised_limit_is_kept(self):
        limit = test_stated_limits.LIMIT
        reply = test_stated_limits.advertise(limit)
        limited = signalling.Upstream(self.ports, "u1", reply)
        free = signalling.Upstream(self.ports, "u2")
        for one in (limited, free):
            self.stack.callback(one.stop)
        self.wait_until_served()
        self.cut()
        callers = signalling.Callers(self.system, test_stated_limits.RATE)
        with callers.generate_load(self.system.gateways):
            time.sleep(test_stated_limits.SECONDS)
        span = test_stated_limits.SPAN_SECONDS
        allowed = test_stated_limits.FACTOR * limit * span + test_stated_limits.EXTRA
        most = test_stated_limits.find_most_in_span(limited)
        self.assertGreater(most, 0)
        self.assertLessEqual(most, allowed)
        self.assertEqual(callers.list_failures(), [])


class CrashTest(ApartCase):
    def test_a_request_that_crashes_upstreams_is_held_at_all_gateways(self):
        fleet = crashing.Fleet(self.ports, test_crashing_requests.UPSTREAMS)
        self.stack.callback(fleet.stop)
        self.wait_until_served()
        self.cut()
        until = time.monotonic() + test_crashing_requests.SECONDS
        for gateway in itertools.cycle(self.system.gateways):
            if time.monotonic() > until:
                break
            self.ask(gateway, crashing.FATAL)
            time.sleep(test_crashing_requests.PAUSE_SECONDS)
        runs = fleet.list_runs(crashing.FATAL)
        ends = test_crashing_requests.ENDS
        self.assertGreaterEqual(len(runs), ends)
        known_at = (
            runs[ends - 1]
            + crashing.FATAL_SECONDS
            + test_crashing_requests.KNOWN_SECONDS
        )
        late = [at for at in runs if at > known_at]
        self.assertLessEqual(
            len(late), test_crashing_requests.MORE_SENDS, f"{len(runs)} runs in all"
        )


if __name__ == "__main__":
    unittest.main()
