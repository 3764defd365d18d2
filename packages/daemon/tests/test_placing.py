"""How long a gateway waits for the arbiter's choice."""

import unittest

from packages.forwarding.tests import samples
from trestlestall.daemon.gateway import placing


class PatienceTest(unittest.TestCase):
    def test_it_is_a_part_of_the_target_within_bounds(self):
        found = [
            placing.find_patience(samples.make_descriptor(first_seconds=target))
            for target in (0.01, 0.25, 0.4, 30.0)
        ]
        self.assertEqual(found, [0.03, 0.0625, 0.1, 0.2])

    def test_a_prompt_on_a_narrow_link_does_not_hide_the_answer(self):
        bytes_before, bytes_per_second = 12_000, 5_000_000 / 8
        descriptor = samples.make_descriptor(first_seconds=0.25)
        patience = placing.find_patience(descriptor)
        self.assertGreater(patience, 2 * bytes_before / bytes_per_second)
