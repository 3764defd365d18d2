"""The bound of repeated sends holds over a whole fleet, whatever happens to it."""

import unittest

from packages.forwarding.tests import fleet as fleets
from trestlestall.forwarding import budgets

BOUND = budgets.Bound(ratio=0.2, slack=58.0, window=10.0)
SIZE, RATE = 9, 80.0
SEEDS = range(30)


class FleetTest(unittest.TestCase):
    def make_fleet(self):
        """Return a fleet with a window of calm behind it, as sends begin to fail."""
        fleet = fleets.Fleet(SIZE, RATE, BOUND, seed=1)
        fleet.run(fleets.CALM_SECONDS)
        fleet.fail(0.45, 11.0)
        return fleet

    def assert_kept(self, fleet):
        self.assertGreater(len(fleet.repeats), 20)
        self.assertEqual(fleet.list_breaches(), [])

    def test_without_faults(self):
        fleet = self.make_fleet()
        fleet.run(30.0)
        self.assert_kept(fleet)

    def test_killed_processes_come_back_in_the_window_in_which_they_spent(self):
        fleet = self.make_fleet()
        fleet.run(4.0)
        fleet.kill(0.9, 0.6)
        fleet.run(20.0)
        self.assert_kept(fleet)

    def test_a_fleet_that_is_told_to_be_smaller(self):
        fleet = self.make_fleet()
        fleet.run(3.0)
        fleet.remove(0.8)
        fleet.run(20.0)
        self.assert_kept(fleet)

    def test_drawn_schedules(self):
        broken = {}
        kills = repeats = 0
        for seed in SEEDS:
            fleet = fleets.play(seed)
            kills += fleet.kills
            repeats += len(fleet.repeats)
            if found := fleet.list_breaches():
                broken[seed] = found[0]
        self.assertGreater(kills, 500)
        self.assertGreater(repeats, 5000)
        self.assertEqual(broken, {})
