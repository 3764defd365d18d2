"""How a gateway quarantines a request that crashes upstreams."""

import dataclasses

from packages.daemon.tests import gateway_bench as bench  # isort: skip

import eventlet

from trestlestall.forwarding import crash_reports, upstreams
from trestlestall.wire import directory_messages

UPSTREAMS = 7
FATAL = b"fatal"
CLOSING = b"cut"


class CrashTest(bench.GatewayCase):
    """A gateway without a directory.

    The body of a request decides what an upstream does: at ``FATAL`` it crashes, at
    ``CLOSING`` it only closes the connection.
    """

    def setUp(self):
        super().setUp()
        self.fleet = {}
        for number in range(UPSTREAMS):
            self.start(f"u{number}")

    def start(self, identity):
        """Start an upstream that crashes when it starts to run a fatal request."""

        def script(connection, received):
            if received.body == FATAL:
                self.fleet[identity].stop()
            if received.body in (FATAL, CLOSING):
                return False
            return bench.answer("", "done")(connection, received)

        self.fleet[identity] = self.bench.add(identity, script)

    def ask(self, number, body=FATAL, path="/again/x", **headers):
        """Send a request with the id of this number; return status, head and body."""
        return self.bench.ask(path, body, Trestlestall_Request=f"r-{number}", **headers)

    def count_crashed(self):
        """Return how many upstreams have received the fatal request."""
        found = (one.received for one in self.fleet.values())
        return sum(any(each.body == FATAL for each in one) for one in found)

    def test_it_crashes_no_more_than_three_upstreams(self):
        answers = [self.ask(number) for number in range(4)]
        self.assertEqual(self.count_crashed(), 3)
        for status, head, _ in answers:
            self.assertEqual(status, 502)
            self.assertNotIn("Retry-After", head)
        self.assertEqual(self.ask(5, b"good")[2], "done")

    def test_the_crashes_it_is_blamed_for_are_logged_and_counted(self):
        for number in range(3):
            self.ask(number)
        (line, *_) = self.bench.list_lines("request_held")
        ended = {line["upstream"] for line in self.bench.list_lines("upstream_ended")}
        self.assertEqual({start for start, _ in line["ends"]}, ended)
        self.assertEqual(len(ended), 3)
        sent = self.bench.list_lines("forward_sent")
        self.assertEqual({one["digest"] for one in sent}, {line["digest"]})
        shown = bench.Caller(self.bench.platform_port)
        shown.ask("/metrics", method="GET")
        text = shown.read_answer()[2]
        self.assertIn("trestlestall_requests_held 1.0", text)
        self.assertIn("trestlestall_upstreams_ended_total 3.0", text)

    def test_a_retry_within_one_request_counts(self):
        self.ask(1)
        self.assertEqual(self.count_crashed(), 2)
        self.ask(2)
        self.assertEqual(self.count_crashed(), 3)

    def test_a_closed_connection_is_no_crash(self):
        for number in range(6):
            self.ask(number, CLOSING)
        self.assertEqual(self.bench.list_lines("upstream_ended"), [])
        self.assertEqual(self.bench.list_lines("request_held"), [])

    def test_the_end_of_a_brittle_upstream_is_blamed_on_no_request(self):
        known, now = (
            self.bench.gateway.view.brittleness,
            self.bench.gateway.view.clock(),
        )
        known.record_brittle("u0", 4.0, now)
        for number in range(4):
            self.ask(number)
        lines = self.bench.list_lines("upstream_ended")
        self.assertTrue(lines)
        self.assertEqual({line["blamed"] for line in lines}, {0})
        self.assertEqual(self.bench.list_lines("request_held"), [])

    def test_it_is_quarantined_for_its_caller_and_target_alone(self):
        for number in range(3):
            self.ask(number)
        self.assertEqual(self.count_crashed(), 3)
        self.ask(4, path="/open/x")
        self.ask(5, path="/again/y")
        self.assertEqual(self.count_crashed(), 6)

    def test_the_end_of_a_draining_upstream_is_no_crash(self):
        for identity, one in self.fleet.items():
            row = dataclasses.replace(one.row, sequence=2)
            self.bench.gateway.view.merge_rows((row,), "test")
            leaving = dataclasses.replace(row, state=upstreams.State.DRAINING)

            def script(connection, received, at=identity, row=leaving):
                self.bench.gateway.view.merge_rows((row,), "test")
                self.fleet[at].stop()
                return False

            one.script = script
        for number in range(3):
            self.ask(number)
        self.assertEqual(self.bench.list_lines("request_held"), [])
        self.assertGreaterEqual(len(self.bench.list_lines("upstream_ended")), 3)

    def test_an_incarnation_that_is_replaced_has_crashed(self):
        for number in range(3):
            self.ask(number, CLOSING, path="/once/x")
        self.assertEqual(self.bench.list_lines("upstream_ended"), [])
        used = [one for one in self.fleet.values() if one.received]
        for one in used:
            removed = upstreams.make_tombstone(one.row)
            self.bench.gateway.view.merge_rows((removed,), "test")
        ended = bench.wait_until(
            lambda: len(self.bench.list_lines("upstream_ended")) == len(used)
        )
        self.assertTrue(ended)
        self.assertEqual(len(used), 3)
        self.assertEqual(self.ask(4, CLOSING, path="/once/x")[0], 502)
        self.assertEqual(len(self.bench.list_lines("request_held")), 1)

    def test_an_upstream_that_drains_before_it_is_removed_has_not_crashed(self):
        for number in range(3):
            self.ask(number, CLOSING, path="/once/x")
        for state in (upstreams.State.DRAINING, upstreams.State.GONE):
            rows = [
                dataclasses.replace(one.row, sequence=2, state=state)
                for one in self.fleet.values()
            ]
            self.bench.gateway.view.merge_rows(rows, "test")
            eventlet.sleep(0.15)
        self.assertEqual(self.bench.list_lines("upstream_ended"), [])

    def test_crashes_and_responses_are_reported_to_directories(self):
        sent = []
        self.bench.gateway.handler.crash_detector.broadcast = sent.append
        self.ask(1, b"good")
        self.assertEqual(sent, [])
        self.ask(2)
        kinds = [type(message) for message in sent]
        self.assertEqual(kinds.count(directory_messages.Crashed), 2)
        self.assertEqual(kinds.count(directory_messages.PartsCrashed), 2)
        self.assertEqual(len(sent), 4)
        starts = {message.crashed[0][0] for message in sent[::2]}
        self.assertEqual(starts, {message.ends[0][1] for message in sent[1::2]})
        self.assertEqual(len(starts), 2)

    def test_reports_of_a_directory_quarantine_a_request_and_release_it(self):
        self.ask(1, b"good")
        digest = self.bench.list_lines("forward_sent")[0]["digest"]
        record = self.bench.gateway.view.crashes
        now = self.bench.gateway.view.clock()
        ends = tuple((digest, f"s{number}", 6.0 - number) for number in range(6))
        record.merge(crash_reports.Report(ends), now + 10.0)
        self.assertEqual(self.ask(2, b"good")[0], 502)
        record.merge(crash_reports.Report(alive=(("s1", 0.0),)), now + 10.0)
        self.assertEqual(self.ask(3, b"good")[0], 200)
