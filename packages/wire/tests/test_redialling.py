"""How long a dialler waits between its tries."""

import random
import unittest
from unittest import mock

from trestlestall.wire import clocks, connections, redialling


class WaitsTest(unittest.TestCase):
    def setUp(self):
        self.waits = redialling.Waits(random.Random(7))

    def test_a_peer_that_comes_up_within_a_second_is_found_soon_after(self):
        passed, gaps = 0.0, []
        while passed < 1.0:
            gaps.append(self.waits.find_next(0.0))
            passed += gaps[-1]
        self.assertLess(max(gaps), 0.45)
        self.assertGreater(len(gaps), 4)

    def test_processes_that_start_together_are_linked_as_soon_as_both_are_up(self):
        passed, gaps = 0.0, []
        while passed < 0.4:
            gaps.append(self.waits.find_next(0.0))
            passed += gaps[-1]
        self.assertLessEqual(max(gaps), 0.05)

    def test_a_peer_that_stays_away_is_dialled_seldom(self):
        found = [self.waits.find_next(0.0) for _ in range(40)][-10:]
        self.assertGreater(min(found), redialling.LONGEST_WAIT / 2 - 0.01)
        self.assertLessEqual(max(found), redialling.LONGEST_WAIT)

    def test_a_good_link_begins_anew_and_a_short_one_does_not(self):
        for _ in range(40):
            self.waits.find_next(0.0)
        self.assertGreater(self.waits.find_next(0.5), redialling.FIRST_WAIT)
        self.assertLessEqual(self.waits.find_next(5.0), redialling.FIRST_WAIT)


class DialTest(unittest.TestCase):
    def test_a_try_ends_before_the_kernel_sends_its_opening_packet_again(self):
        refusing = mock.patch.object(
            connections.socket, "create_connection", side_effect=TimeoutError
        )
        with refusing as create:
            deadline = clocks.read() + 5.0
            with connections.dial("127.0.0.1:1", deadline, 100) as opened:
                self.assertIsNone(opened)
        self.assertLess(create.call_args.kwargs["timeout"], 1.0)
