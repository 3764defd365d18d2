"""All gateways together respect the rate limit that an upstream advertises.

Failure guarded against: an overloaded upstream advertised in its answers a limit of 1.2
requests a second, for all gateways together, and got 18 in 4 s; another one with 1.1
got 12. After two of nine engines began to advertise a limit, they got as many requests
as before, each assigned by the same directory, which schedules the requests of all
gateways and did not know the limits.

The headers of an answer were forwarded to its caller and not stored: state that an
upstream reports about itself was accepted from announcements only. So no process could
count what all gateways together sent to an upstream with an advertised limit.
"""

import contextlib
import signal
import tempfile
import threading
import time
import unittest

from tests import gateways, relays, signalling
from trestlestall.standins import addresses

#: Requests a second that the upstream advertises as its limit, and that callers send.
LIMIT = 1.5
RATE = 24.0
#: Allowed in each span of so many seconds, from KNOWN_SECONDS after the first
#: advertisement on: one and a half times the limit, plus five requests.
SPAN_SECONDS = 4.0
FACTOR, EXTRA = 1.5, 5
KNOWN_SECONDS = 3.0
#: Seconds after an answer with the limit from which a gateway's requests count.
TOLD_SECONDS = 0.5
#: How often a directory is held up, for how many seconds each time, which is shorter
#: than the silence that ends a link, and for how many it runs in between.
STOPS, STOP_SECONDS, RUN_SECONDS = 5, 1.8, 0.2
#: Seconds for which callers send requests.
SECONDS = 10.0


def advertise(limit):
    """Return a function that makes replies with an advertised limit."""
    return lambda gateway: signalling.Reply(
        headers={signalling.LIMIT_HEADER: str(limit)}
    )


def find_most_in_span(upstream, excused=()):
    """Return the most requests in a span, sent by gateways notified before."""
    arrivals = upstream.list_arrivals()
    notified_at = {}
    for one in arrivals:
        if signalling.LIMIT_HEADER in one.sent_headers:
            notified_at.setdefault(one.gateway, one.at + signalling.WORK_SECONDS)
    if not notified_at:
        return 0
    begin = min(notified_at.values()) + KNOWN_SECONDS
    counted = [
        one.at
        for one in arrivals
        if one.at >= begin
        and one.gateway not in excused
        and one.at >= notified_at.get(one.gateway, one.at) + TOLD_SECONDS
    ]
    spans = (
        [at for at in counted if start <= at < start + SPAN_SECONDS]
        for start in counted
    )
    return max(map(len, spans), default=0)


def find_least_in_span(upstream, begin, end):
    """Return the least requests in a span between these times."""
    arrivals = [one.at for one in upstream.list_arrivals() if begin <= one.at <= end]
    starts = [at for at in (begin, *arrivals) if at + SPAN_SECONDS <= end]
    return min(
        sum(start < at <= start + SPAN_SECONDS for at in arrivals) for start in starts
    )


class LimitCase(unittest.TestCase):
    """A deployment with several gateways, and directories that schedule requests."""

    directories = 3
    gateways = 4
    #: Failures show the log lines of the requests that failed, whole.
    maxDiff = None

    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="trestle-"))
        self.stack = stack
        self.system = gateways.Deployment(folder, self.directories, self.gateways)
        stack.callback(self.system.stop_all)
        self.prepare()
        self.system.start_all()
        document = gateways.make_document(5)
        self.assertEqual(self.system.declare(document), 200)
        self.ports = [self.system.ports[name] for name in self.system.names]
        self.callers = signalling.Callers(self.system, RATE)

    def prepare(self):
        """Change the deployment before its processes start."""

    def add(self, identity, make_reply=None, born=0):
        """Start an upstream."""
        made = signalling.Upstream(self.ports, identity, make_reply, born)
        self.stack.callback(made.stop)
        return made

    def wait_until_served(self):
        """Wait until each gateway serves."""
        for name in self.system.gateways:
            gateways.wait_until(
                lambda each=name: self.callers.ask(each).status == 200, name
            )

    def find_scheduler(self):
        """Return the directory that gateways ask: the one with the lowest address."""
        links = self.system.links
        return min(links, key=lambda name: f"{gateways.HOST}:{links[name]}")

    def check_limit_respected(self, upstream, excused=()):
        """Check that the limit is respected, and that the upstream is not left idle."""
        allowed = FACTOR * LIMIT * SPAN_SECONDS + EXTRA
        self.assertLessEqual(find_most_in_span(upstream, excused), allowed)
        # Answers may be late, and nobody sends while the callers wait for them.
        ended = self.callers.load_ended_at
        lately = [
            one
            for one in upstream.list_arrivals()
            if ended - SPAN_SECONDS <= one.at <= ended
        ]
        self.assertGreaterEqual(len(lately), 0.5 * LIMIT * SPAN_SECONDS)


class SharedLimitTest(LimitCase):
    def test_all_gateways_together_keep_to_it(self):
        limited = self.add("u1", advertise(LIMIT))
        free = self.add("u2")
        self.wait_until_served()
        with self.callers.generate_load(self.system.gateways):
            time.sleep(SECONDS)
        self.check_limit_respected(limited)
        # The other upstream serves the remaining requests.
        self.assertEqual(self.callers.list_failures(), [])
        self.assertTrue(free.list_arrivals())

    def test_what_no_upstream_takes_is_refused_with_a_time_to_return(self):
        limited = self.add("u1", advertise(LIMIT))
        self.wait_until_served()
        with self.callers.generate_load(self.system.gateways):
            time.sleep(SECONDS)
        self.check_limit_respected(limited)
        self.assertEqual(self.callers.list_statuses(), {200, 503})

    def test_it_holds_while_the_directory_that_places_is_replaced(self):
        limited = self.add("u1", advertise(LIMIT))
        self.add("u2")
        self.wait_until_served()
        arbiter = self.find_scheduler()
        with self.callers.generate_load(self.system.gateways):
            time.sleep(4.0)
            self.system.running[arbiter].kill()
            time.sleep(3.0)
            self.system.start_directory(arbiter)
            time.sleep(5.0)
        self.check_limit_respected(limited)

    def test_a_gateway_that_starts_again_does_not_break_it_for_the_others(self):
        limited = self.add("u1", advertise(LIMIT))
        self.add("u2")
        self.wait_until_served()
        first = self.system.gateways[0]
        with self.callers.generate_load(self.system.gateways):
            time.sleep(4.0)
            self.system.running[first].kill()
            time.sleep(0.5)
            self.system.start_gateway(first)
            time.sleep(6.0)
        self.check_limit_respected(limited, excused=(first,))

    def test_callers_of_a_gateway_that_is_held_up_at_the_end(self):
        """The upstream is not idle, though one gateway's answers are late."""
        limited = self.add("u1", advertise(LIMIT))
        self.add("u2")
        self.wait_until_served()
        held = self.system.running[self.system.gateways[0]]
        resuming = threading.Timer(SPAN_SECONDS, held.send_signal, (signal.SIGCONT,))
        with self.callers.generate_load(self.system.gateways):
            time.sleep(SECONDS)
            held.send_signal(signal.SIGSTOP)
            resuming.start()
            time.sleep(2.0 / RATE * len(self.system.gateways))
        resuming.join()
        self.check_limit_respected(limited)

    def test_a_directory_that_was_held_up_does_not_leave_the_upstream_idle(self):
        """Guards against a count of what the others sent, without its refill."""
        limited = self.add("u1", advertise(LIMIT))
        self.add("u2")
        self.wait_until_served()
        directory = self.system.running[self.find_scheduler()]
        with self.callers.generate_load(self.system.gateways):
            time.sleep(SPAN_SECONDS)
            for _ in range(STOPS):
                directory.send_signal(signal.SIGSTOP)
                time.sleep(STOP_SECONDS)
                directory.send_signal(signal.SIGCONT)
                time.sleep(RUN_SECONDS)
            resumed_at = time.monotonic()
            time.sleep(SECONDS)
        self.check_limit_respected(limited)
        ended_at = self.callers.load_ended_at
        least = find_least_in_span(limited, resumed_at, ended_at)
        self.assertGreaterEqual(least, 0.5 * LIMIT * SPAN_SECONDS)

    def test_it_ends_when_answers_no_longer_state_it(self):
        limited = self.add("u1", advertise(LIMIT))
        self.wait_until_served()
        with self.callers.generate_load(self.system.gateways):
            time.sleep(4.0)
            limited.make_reply = lambda gateway: signalling.Reply()
            time.sleep(3.0)
            freed_at = time.monotonic()
            time.sleep(2.0)
        self.assertEqual(self.callers.list_failures(since=freed_at), [])


class RelayedCase(LimitCase):
    """A deployment whose processes can all be partitioned from the directories."""

    def prepare(self):
        self.relays = []
        reached_at = {}
        for name, port in self.system.links.items():
            relay = relays.Relay(addresses.Address(gateways.HOST, port))
            self.stack.callback(relay.close)
            self.relays.append(relay)
            reached_at[name] = str(relay.address)
        self.system.put_relays(reached_at)

    @contextlib.contextmanager
    def cut_off(self):
        """Partition all processes from all directories while the block runs."""
        for relay in self.relays:
            relay.cut()
        yield
        for relay in self.relays:
            relay.heal()


class CutOffTest(RelayedCase):
    def test_gateways_that_no_directory_answers_keep_to_it(self):
        limited = self.add("u1", advertise(LIMIT))
        self.add("u2")
        self.wait_until_served()
        with self.callers.generate_load(self.system.gateways):
            time.sleep(4.0)
            with self.cut_off():
                time.sleep(9.0)
            time.sleep(6.0)
        self.check_limit_respected(limited)
        # The other upstream serves the remaining requests.
        self.assertEqual(self.callers.list_failures(), [])


class TwoDirectoriesTest(LimitCase):
    directories = 2

    def test_all_gateways_together_keep_to_it(self):
        limited = self.add("u1", advertise(LIMIT))
        self.add("u2")
        self.wait_until_served()
        with self.callers.generate_load(self.system.gateways):
            time.sleep(SECONDS)
        self.check_limit_respected(limited)


if __name__ == "__main__":
    unittest.main()
