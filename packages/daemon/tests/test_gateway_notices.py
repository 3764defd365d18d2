"""How a gateway handles signals that upstreams send in responses."""

from packages.daemon.tests import gateway_bench as bench  # isort: skip

import dataclasses

import eventlet

from trestlestall.daemon.gateway import outcomes, signal_tracker
from trestlestall.forwarding import placement, upstream_signals, upstreams
from trestlestall.wire import clocks, directory_messages


def respond(text, body="done", status="200 OK"):
    """Return a script that responds with additional headers."""
    return bench.answer(text, body, status=status)


def make_answer(status=200, **signals):
    """Return the head of a response with these signals."""
    return outcomes.AnswerHead(status, (), {}, upstream_signals.Signal(**signals))


class NoticeCase(bench.GatewayCase):
    """A gateway with one upstream; ``broadcasts`` collects messages to directories.

    Each is a pair of the message and the directory that is excluded.
    """

    def setUp(self):
        super().setUp()
        self.upstream = self.bench.add("u1", respond("", "done"))
        self.row = self.upstream.row
        self.now = clocks.read()
        self.bench.gateway.view.clock = lambda: self.now
        self.signals = self.bench.gateway.handler.signals
        self.broadcasts = []
        self.signals.broadcast = lambda message, excluded="": self.broadcasts.append(
            (message, excluded)
        )

    def handle(self, answer, age=0.1):
        """Handle the response to a request that was sent ``age`` seconds ago."""
        request = signal_tracker.Request("r1", self.now - age)
        self.signals.handle(self.row, answer, request)

    def list_signals(self):
        """Return the logged signals of upstreams, without the common fields."""
        fields = ("upstream", "limit", "leaves", "rest_seconds", "unreadable")
        lines = self.bench.list_lines("upstream_notice")
        return [tuple(line[field] for field in fields) for line in lines]


class SignalTest(NoticeCase):
    def test_signals_are_logged_when_they_change(self):
        for limit in (None, 2.5, 2.5, None):
            self.handle(make_answer(limit=limit))
        self.assertEqual(
            self.list_signals(),
            [("u1", 2.5, False, 0.0, []), ("u1", None, False, 0.0, [])],
        )

    def test_unreadable_signals_are_logged_once_and_ignored(self):
        unreadable = "Trestlestall-Limit: lots\r\nTrestlestall-Leaving:\r\n"
        self.upstream.script = respond(unreadable)
        for _ in range(3):
            self.assertEqual(self.bench.ask("/once/x")[2], "done")
        names = ["trestlestall-limit", "trestlestall-leaving"]
        self.assertEqual(self.list_signals(), [("u1", None, False, 0.0, names)])
        self.assertEqual(self.broadcasts, [])

    def test_signals_are_counted(self):
        self.upstream.script = respond("Trestlestall-Limit: 5\r\n")
        self.bench.ask("/once/x")
        text = self.bench.gateway._metrics.render().decode()
        self.assertIn('trestlestall_upstream_notices_total{kind="limit"} 1.0', text)

    def test_signals_of_another_incarnation_are_ignored(self):
        self.upstream.script = respond("Trestlestall-Limit: 5\r\n", status="421 Other")
        self.bench.ask("/once/x")
        self.assertEqual(self.list_signals(), [])
        self.assertEqual(self.broadcasts, [])


class LimitTest(NoticeCase):
    def find_limit(self):
        """Return the limit that the gateway has cached."""
        return self.bench.gateway.view.advertised_limits.find_limit("u1")

    def test_each_advertised_limit_is_sent_to_all_directories(self):
        for _ in range(2):
            self.handle(make_answer(limit=1.5))
        stated = directory_messages.RateLimits(stated=(("u1", 1.5, 0.0),))
        self.assertEqual(self.broadcasts, [(stated, ""), (stated, "")])

    def test_a_successful_response_without_a_limit_lifts_it(self):
        self.handle(make_answer(limit=1.5))
        self.now += 5.0
        self.handle(make_answer(), age=1.0)
        self.assertIsNone(self.find_limit())
        ended = directory_messages.RateLimits(unstated=(("u1", 1.0),))
        self.assertEqual(self.broadcasts[1:], [(ended, "")])

    def test_refusals_failures_and_unreadable_limits_do_not_lift_it(self):
        self.handle(make_answer(limit=1.5))
        self.now += 5.0
        self.handle(make_answer(500))
        self.handle(outcomes.NotRun(503, upstream_signals.Signal()))
        self.handle(make_answer(unreadable=("trestlestall-limit",)))
        self.assertEqual(self.find_limit(), 1.5)
        self.assertEqual(len(self.broadcasts), 1)

    def test_a_response_to_an_earlier_request_does_not_lift_it(self):
        self.now += 5.0
        self.handle(make_answer(limit=1.5))
        self.handle(make_answer(), age=2.0)
        self.assertEqual(self.find_limit(), 1.5)

    def test_a_newly_linked_directory_receives_the_limit_with_its_age(self):
        self.assertEqual(list(self.signals.report()), [])
        self.handle(make_answer(limit=1.5))
        self.now += 5.0
        expected = directory_messages.RateLimits(stated=(("u1", 1.5, 5.0),))
        self.assertEqual(list(self.signals.report()), [expected])

    def test_a_request_is_reported_to_directories_that_did_not_place_it(self):
        placed = placement.Placed(self.row, 0, 0.0, 1, "directory-1", limit=1.5)
        self.signals.record_placed(placed)
        sent = directory_messages.RateLimits(sent=("u1",))
        self.assertEqual(self.broadcasts, [(sent, "directory-1")])
        self.assertEqual(self.find_limit(), 1.5)

    def test_without_a_directory_a_rate_limited_upstream_gets_no_requests(self):
        self.bench.add("u2", respond("", "other"))
        self.handle(make_answer(limit=1.5))
        for _ in range(4):
            self.assertEqual(self.bench.ask("/once/x")[2], "other")

    def test_if_all_upstreams_are_rate_limited_a_refusal_says_when_to_retry(self):
        self.handle(make_answer(limit=1.5))
        status, head, body = self.bench.ask("/once/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After: 1.", head)
        self.assertIn("limits that they state", body)


class DrainTest(NoticeCase):
    def find_state(self):
        """Return the upstream's state in the gateway's cached view."""
        return self.bench.gateway.view.table.rows["u1"].state

    def list_sent_rows(self):
        """Return identity and state of the rows that were sent to directories."""
        return [
            tuple(row[0:3:2]) for message, _ in self.broadcasts for row in message.rows
        ]

    def test_a_draining_upstream_gets_no_requests_and_directories_are_notified(self):
        self.bench.add("u2", respond("", "other"))
        self.upstream.script = respond("Trestlestall-Leaving: 1\r\n")
        answers = [self.bench.ask("/once/x")[2] for _ in range(6)]
        self.assertLessEqual(answers.count("done"), 1)
        self.assertEqual(self.find_state(), upstreams.State.DRAINING)
        self.assertEqual(self.list_sent_rows(), [("u1", 1)])

    def test_later_announcements_of_the_same_incarnation_change_nothing(self):
        self.handle(make_answer(leaves=True))
        later = dataclasses.replace(self.row, sequence=9)
        self.bench.gateway.view.merge_rows((later,), "directory-1")
        self.assertEqual(self.find_state(), upstreams.State.DRAINING)

    def test_a_later_incarnation_serves(self):
        self.handle(make_answer(leaves=True))
        later = dataclasses.replace(
            self.row, identity="u1@5", name="u1", born=5, sequence=1
        )
        self.bench.gateway.view.merge_rows((later,), "directory-1")
        self.assertEqual(self.bench.ask("/once/x")[2], "done")

    def test_a_running_stream_continues(self):
        head = "HTTP/1.1 200 OK\r\nTrestlestall-Leaving: 1\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        parts = bench.frame(bench.event(1), bench.event(2))
        self.upstream.script = bench.send(head + parts, keep=True)
        caller = self.bench.call()
        caller.ask("/stream/x")
        self.assertEqual(caller.read_head()[0], 200)
        self.assertIn("x2", caller.read_to_end())

    def test_a_newly_linked_directory_is_notified(self):
        self.handle(make_answer(leaves=True))
        rows = [row for message in self.signals.report() for row in message.rows]
        self.assertEqual([row[0:3:2] for row in rows], [["u1", 1]])

    def test_directories_are_notified_once(self):
        for _ in range(3):
            self.handle(make_answer(leaves=True))
        self.assertEqual(self.list_sent_rows(), [("u1", 1)])


class BackoffTest(NoticeCase):
    def refuse(self, seconds):
        """Return a script that refuses requests and asks for backoff."""
        text = f"Trestlestall-Not-Run: 1\r\nRetry-After: {seconds}\r\n"
        return respond(text, "", "503 Full")

    def test_it_gets_no_requests_until_its_backoff_is_over(self):
        self.bench.gateway.view.clock = clocks.read
        self.bench.add("u2", respond("", "other"))
        self.upstream.script = self.refuse(0.4)
        self.bench.ask("/once/x")
        if not self.upstream.received:
            self.handle(outcomes.NotRun(503, upstream_signals.Signal(rest_seconds=0.4)))
        self.upstream.received.clear()
        for _ in range(5):
            self.assertEqual(self.bench.ask("/once/x")[2], "other")
        self.assertEqual(self.upstream.received, [])
        self.upstream.script = respond("", "done")
        self.assertTrue(
            bench.wait_until(lambda: self.bench.ask("/once/x")[2] == "done")
        )

    def test_if_all_back_off_refusals_spread_out_the_retries(self):
        self.handle(outcomes.NotRun(503, upstream_signals.Signal(rest_seconds=2.0)))
        times = set()
        for number in range(4):
            status, head, body = self.bench.ask(
                "/once/x", Trestlestall_Request=f"r-{number}"
            )
            self.assertEqual(status, 503)
            self.assertIn("asked for rest", body)
            found = next(line for line in head.split("\r\n") if "Retry-After" in line)
            times.add(float(found.partition(":")[2]))
        self.assertEqual(self.upstream.received, [])
        self.assertEqual(len(times), 4)
        self.assertGreaterEqual(min(times), 1.5)
        self.assertLessEqual(max(times), 4.0)

    def test_a_refusal_gives_the_shortest_backoff_of_all_upstreams(self):
        self.bench.add("u2", self.refuse(1.0))
        self.upstream.script = self.refuse(3.0)
        self.bench.ask("/once/x")
        _, head, _ = self.bench.ask("/once/x")
        found = next(line for line in head.split("\r\n") if "Retry-After" in line)
        self.assertLess(float(found.partition(":")[2]), 2.1)

    def test_absurd_backoffs_are_ignored(self):
        for value in ("-1", "nan", "inf", "1e300", "999999999", "", "tomorrow"):
            self.upstream.script = self.refuse(value)
            status, head, _ = self.bench.ask("/once/x")
            self.assertEqual(status, 503)
            found = [line for line in head.split("\r\n") if "Retry-After" in line]
            seconds = float(found[0].partition(":")[2])
            least, most = 0.5 * placement.RETURN_SECONDS, 1.5 * placement.RETURN_SECONDS
            self.assertTrue(least <= seconds <= most, (value, seconds))
        self.upstream.script = respond("", "done")
        self.assertEqual(self.bench.ask("/once/x")[2], "done")


class FakeScheduler:
    """A directory that places requests at the first upstream that is not excluded."""

    def __init__(self, placing, choices):
        self.placing = placing
        self.choices = choices
        self.calls = []
        self.received = []
        placing.scheduler_client.send = self.handle
        placing.scheduler_client.set_scheduler("directory-1")

    def handle(self, name, message):
        """Record a message of the gateway, and answer it if it is a call."""
        if not isinstance(message, directory_messages.PlaceCall):
            self.received.append(message)
            return True
        self.calls.append(message)
        excluded = {*message.tried, *getattr(message, "barred", ())}
        allowed = [one for one in self.choices if one not in excluded]
        answer = directory_messages.PlaceAnswer(
            message.token, allowed[0] if allowed else "", 0, 0.0
        )
        eventlet.spawn_n(self.placing.scheduler_client.handle_answer, answer)
        return True


class RejectedChoiceTest(NoticeCase):
    """A partitioned directory chooses upstreams that must not get requests."""

    def setUp(self):
        super().setUp()
        self.other = self.bench.add("u2", respond("", "other"))
        self.scheduler = FakeScheduler(self.bench.gateway.handler.placing, ["u1", "u2"])

    def set_state(self, state):
        """Merge a row that says the upstream is in this state."""
        row = dataclasses.replace(self.row, state=state, sequence=2)
        self.bench.gateway.view.merge_rows((row,), "directory-2")

    def test_a_serving_upstream_gets_the_requests_placed_there(self):
        self.assertEqual(self.bench.ask("/once/x")[2], "done")
        self.assertEqual(len(self.scheduler.calls), 1)

    def test_a_draining_or_removed_upstream_gets_no_requests(self):
        for state in (upstreams.State.DRAINING, upstreams.State.GONE):
            self.set_state(state)
            for _ in range(3):
                self.assertEqual(self.bench.ask("/once/x")[2], "other")
        self.assertEqual(self.upstream.received, [])

    def test_a_directory_that_missed_a_drain_notice_is_notified(self):
        self.set_state(upstreams.State.DRAINING)
        self.bench.ask("/once/x")
        sent = [
            one
            for one in self.scheduler.received
            if isinstance(one, directory_messages.Announced)
        ]
        self.assertEqual([row[:3] for one in sent for row in one.rows], [["u1", 2, 1]])
        purposes = [call.purpose for call in self.scheduler.calls]
        self.assertEqual(purposes, ["first", "moved"], "a request is counted once")
        lines = self.bench.list_lines("choice_not_followed")
        self.assertEqual([line["state"] for line in lines], ["draining"])

    def test_a_choice_that_is_not_followed_is_withdrawn(self):
        """Guards against a mixed deployment: older directories know only the note."""
        self.set_state(upstreams.State.GONE)
        self.bench.ask("/once/x")
        withdrawn = directory_messages.PlaceWithdrawn("r-1")
        note = directory_messages.PlaceNote("r-1", "neither")
        self.assertEqual(self.scheduler.received[1:3], [withdrawn, note])

    def test_a_removal_is_not_passed_on_as_an_announcement(self):
        self.set_state(upstreams.State.GONE)
        self.bench.ask("/once/x")
        received = [type(one) for one in self.scheduler.received]
        self.assertNotIn(directory_messages.Announced, received)

    def test_a_query_lists_the_upstreams_that_back_off(self):
        self.handle(outcomes.NotRun(503, upstream_signals.Signal(rest_seconds=2.0)))
        self.assertEqual(self.bench.ask("/once/x")[2], "other")
        self.assertEqual([call.barred for call in self.scheduler.calls], [("u1",)])

    def test_a_backoff_requested_while_a_request_is_being_placed(self):
        handle = self.scheduler.handle

        def handle_late(name, message):
            found = handle(name, message)
            if isinstance(message, directory_messages.PlaceCall) and not message.barred:
                self.handle(
                    outcomes.NotRun(503, upstream_signals.Signal(rest_seconds=2.0))
                )
            return found

        self.scheduler.placing.scheduler_client.send = handle_late
        self.assertEqual(self.bench.ask("/once/x")[2], "other")
        self.assertEqual(self.upstream.received, [])
        self.assertEqual(len(self.scheduler.calls), 2)
