"""How a directory applies the rate limits that upstreams advertise."""

import json

from packages.daemon.tests import test_directory
from packages.forwarding.tests import samples
from trestlestall.daemon import placement_protocol
from trestlestall.forwarding import descriptors, rate_limits
from trestlestall.wire import directory_messages

GATEWAY = "gateway-1"
OTHER = test_directory.OTHERS[0]


class LimitingCase(test_directory.DirectoryCase):
    def setUp(self):
        super().setUp()
        self.links.directories = [OTHER]
        self.server.registrations.announce(samples.make_row("u1"))
        self.server.registrations.announce(samples.make_row("u2"))
        self.token = 0

    def receive(self, **fields):
        """Deliver a gateway's message on limits."""
        self.server.handle_message(GATEWAY, directory_messages.RateLimits(**fields))

    def ask(self, tried=(), barred=()):
        """Deliver a gateway's call; return its answer."""
        self.token += 1
        descriptor = samples.make_descriptor(f"r{self.token}")
        plain = tuple(descriptors.encode(descriptor))
        call = directory_messages.PlaceCall(
            self.token,
            plain,
            tuple(tried),
            placement_protocol.FIRST_SEND,
            tuple(barred),
        )
        self.server.handle_message(GATEWAY, call)
        return self.links.find(directory_messages.PlaceAnswer, GATEWAY)[-1]

    def list_lines(self, name):
        """Return the log lines with this name."""
        lines = map(json.loads, self.output.getvalue().splitlines())
        return [line for line in lines if line["name"] == name]


class LimitingTest(LimitingCase):
    def test_a_limited_upstream_gets_its_limit_and_others_get_the_rest(self):
        self.receive(stated=(("u1", 1.5, 0.0),))
        begun = self.clock.now
        placed = []
        while self.clock.now < begun + 10.0:
            placed.append(self.ask().upstream)
            self.clock.now += 0.05
        self.assertIn(placed.count("u1"), range(12, 17))
        self.assertEqual(placed.count("u1") + placed.count("u2"), len(placed))

    def test_the_answer_holds_the_limit(self):
        self.receive(stated=(("u1", 1.5, 0.0),))
        self.clock.now += 1.0
        self.assertEqual(self.ask(tried=("u2",)).limit, 1.5)
        self.assertIsNone(self.ask(tried=("u1",)).limit)

    def test_a_request_that_no_limit_allows_gets_a_retry_time(self):
        self.receive(stated=(("u1", 0.5, 0.0), ("u2", 0.25, 0.0)))
        answer = self.ask()
        self.assertEqual((answer.upstream, answer.reason), ("", rate_limits.LIMITED))
        self.assertGreaterEqual(answer.return_seconds, 2.0)
        self.assertLessEqual(answer.return_seconds, 4.0)
        self.assertGreaterEqual(self.ask(tried=("u1",)).return_seconds, 4.0)

    def test_requests_placed_by_other_directories_are_counted(self):
        self.receive(stated=(("u1", 1.0, 0.0),))
        self.clock.now += 1.0
        self.receive(sent=("u1",))
        self.assertEqual(self.ask(tried=("u2",)).reason, rate_limits.LIMITED)

    def test_a_request_that_its_gateway_did_not_send_is_not_counted(self):
        """Guards against an upstream left idle for calls that were answered late."""
        self.receive(stated=(("u1", 0.2, 0.0),))
        for is_withdrawn in (False, True):
            self.clock.now += 5.0
            self.assertEqual(self.ask(tried=("u2",)).upstream, "u1")
            request = f"r{self.token}"
            if is_withdrawn:
                message = directory_messages.PlaceWithdrawn(request)
                self.server.handle_message(GATEWAY, message)
            note = directory_messages.PlaceNote(request, "neither")
            self.server.handle_message(GATEWAY, note)
            again = self.ask(tried=("u2",))
            with self.subTest(is_withdrawn=is_withdrawn):
                self.assertEqual(again.upstream, "u1" if is_withdrawn else "")

    def test_the_start_and_end_of_a_limit_are_logged(self):
        self.receive(stated=(("u1", 1.0, 2.0),))
        self.receive(stated=(("u1", 1.0, 0.0),))
        self.clock.now += 3.0
        self.receive(unstated=(("u1", 1.0),))
        self.assertIsNone(self.ask(tried=("u2",)).limit)
        lines = self.list_lines("upstream_limit")
        self.assertEqual([line["limit"] for line in lines], [1.0, None])
        self.assertEqual(lines[0]["source"], GATEWAY)

    def test_invalid_messages_change_nothing(self):
        for fields in (
            {"stated": (("u1", "x", 0.0),)},
            {"stated": (("u1",),)},
            {"stated": ((1, 1.0, 0.0),)},
            {"stated": (("u1", float("nan"), 0.0),)},
            {"stated": (("u1", 1.0, -5.0),)},
            {"unstated": ("u1",)},
            {"sent": (1,)},
        ):
            self.receive(**fields)
        self.assertEqual(len(self.list_lines("upstream_limit_refused")), 7)
        self.assertEqual(self.server.advertised_limits.limits.list_limited(), [])

    def test_upstreams_excluded_by_the_gateway_are_not_chosen(self):
        for _ in range(5):
            self.assertEqual(self.ask(barred=("u1",)).upstream, "u2")
        self.assertEqual(self.ask(barred=("u1", "u2")).upstream, "")
        self.receive(stated=(("u1", 1.0, 0.0),))
        self.assertNotEqual(
            self.ask(barred=("u1", "u2")).reason,
            rate_limits.LIMITED,
            "it is in backoff",
        )
