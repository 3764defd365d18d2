"""How long a gateway waits for the scheduler's choice, and when it asks another one."""

from packages.daemon.tests import test_gateway_notices  # isort: skip

import unittest

import eventlet
from eventlet import patcher

from packages.forwarding.tests import samples
from trestlestall.daemon.gateway import scheduler_health
from trestlestall.wire import clocks, directory_messages

block = patcher.original("time").sleep
STALL_SECONDS = 2 * scheduler_health.UNRESPONSIVE_SECONDS


class WaitTimeoutTest(unittest.TestCase):
    def test_the_timeout_is_a_share_of_the_target_within_bounds(self):
        found = [
            scheduler_health.compute_wait_timeout(
                samples.make_descriptor(first_seconds=target)
            )
            for target in (0.01, 0.25, 0.4, 30.0)
        ]
        self.assertEqual(found, [0.03, 0.0625, 0.1, 0.2])

    def test_a_prompt_on_a_narrow_link_does_not_cause_a_timeout(self):
        bytes_before, bytes_per_second = 12_000, 5_000_000 / 8
        descriptor = samples.make_descriptor(first_seconds=0.25)
        timeout = scheduler_health.compute_wait_timeout(descriptor)
        self.assertGreater(timeout, 2 * bytes_before / bytes_per_second)


class FrozenSchedulerTest(test_gateway_notices.NoticeCase):
    """The directory that places requests freezes, and another one takes over."""

    def setUp(self):
        super().setUp()
        self.placing = self.bench.gateway.handler.placing
        self.scheduler = test_gateway_notices.FakeScheduler(self.placing, ["u1"])
        self.answering, self.asked = self.scheduler.handle, []
        self.placing.scheduler_client.send = self.take
        self.placing.scheduler_client.choose_scheduler = self.choose

    def take(self, name, message):
        """Record calls; answer only those to the second directory."""
        if isinstance(message, directory_messages.PlaceCall):
            self.asked.append((name, message.purpose))
        if name == "directory-2":
            return self.answering(name, message)
        return True

    def choose(self):
        """Switch to the second directory once the first is avoided."""
        if self.placing.scheduler_client.is_avoided("directory-1"):
            self.placing.scheduler_client.set_scheduler("directory-2")

    def ask_until_another(self):
        """Send requests until the second directory is asked; return the duration."""
        started = clocks.read()
        while self.asked[-1:] != [("directory-2", "moved")]:
            self.assertEqual(self.bench.ask("/once/x")[2], "done")
            self.assertLess(len(self.asked), 20)
        return clocks.read() - started

    def test_the_request_that_detects_the_freeze_is_placed_by_the_other_directory(self):
        self.ask_until_another()
        names = [name for name, _ in self.asked]
        self.assertEqual(names.count("directory-2"), 1)
        self.assertGreaterEqual(
            names.count("directory-1"), scheduler_health.UNANSWERED_LIMIT
        )
        self.assertEqual(self.bench.ask("/once/x")[2], "done")
        self.assertEqual(self.asked[-1], ("directory-2", "first"))

    def test_the_other_directory_receives_the_running_requests(self):
        self.ask_until_another()
        received = [type(one) for one in self.scheduler.received]
        self.assertIn(directory_messages.PlaceState, received)

    def test_a_short_pause_does_not_cause_a_switch(self):
        self.bench.ask("/once/x")
        self.assertFalse(self.placing.scheduler_client.is_avoided("directory-1"))
        self.placing.scheduler_client.handle_answer(
            directory_messages.PlaceAnswer(0, "u1", 0, 0.0)
        )
        self.bench.ask("/once/x")
        self.assertFalse(self.placing.scheduler_client.is_avoided("directory-1"))

    def test_a_stall_of_the_gateway_does_not_cause_a_switch(self):
        # Regression: two queries that it had not sent yet counted as unanswered.
        asking = [eventlet.spawn(self.bench.ask, "/once/x") for _ in range(2)]
        while len(self.asked) < len(asking):
            eventlet.sleep(0)
        block(STALL_SECONDS)
        self.assertEqual([one.wait()[2] for one in asking], ["done"] * 2)
        self.assertFalse(self.placing.scheduler_client.is_avoided("directory-1"))
