"""The bound on retries holds over a whole fleet, whatever happens to it."""

import unittest

from packages.forwarding.tests import fleet as fleets
from trestlestall.forwarding import budgets

BOUND = budgets.Bound(ratio=0.2, slack=58.0, window=10.0)
SIZE, RATE = 9, 80.0
#: Random schedules of pairs cut apart.
CUT_SEEDS = tuple(range(40))
#: Random schedules, and those that broke the bound once: a directory that was
#: partitioned or stalled took its own old counts for complete.
SEEDS = (*range(30), 1140, 1765, 1913, 4358, 4388, 6203, 6224, 7139)


class FleetTest(unittest.TestCase):
    def make_fleet(self):
        """Return a fleet after a window without faults, as sends begin to fail."""
        fleet = fleets.Fleet(SIZE, RATE, BOUND, seed=1)
        fleet.run(fleets.CALM_SECONDS)
        fleet.fail(0.45, 11.0)
        return fleet

    def assert_bound_holds(self, fleet):
        self.assertGreater(len(fleet.retries), 20)
        self.assertEqual(fleet.list_breaches(), [])

    def test_without_faults(self):
        fleet = self.make_fleet()
        fleet.run(30.0)
        self.assert_bound_holds(fleet)

    def test_processes_restarted_in_the_window_in_which_they_consumed(self):
        fleet = self.make_fleet()
        fleet.run(4.0)
        fleet.kill(0.9, 0.6)
        fleet.run(20.0)
        self.assert_bound_holds(fleet)

    def test_killed_twice_in_one_window(self):
        fleet = self.make_fleet()
        for _ in range(3):
            fleet.run(2.5)
            fleet.kill(0.9, 0.6)
        fleet.run(20.0)
        self.assert_bound_holds(fleet)

    def test_all_killed_at_once(self):
        fleet = self.make_fleet()
        fleet.run(4.0)
        fleet.kill(1.0, 0.6)
        fleet.run(20.0)
        self.assert_bound_holds(fleet)

    def test_a_rolling_restart(self):
        fleet = self.make_fleet()
        fleet.roll(1.0, 0.6)
        fleet.run(25.0)
        self.assert_bound_holds(fleet)

    def test_a_fleet_that_is_told_to_be_smaller(self):
        fleet = self.make_fleet()
        fleet.run(3.0)
        fleet.remove(0.8)
        fleet.run(20.0)
        self.assert_bound_holds(fleet)

    def test_all_directories_killed_twice(self):
        fleet = self.make_fleet()
        for _ in range(2):
            fleet.run(3.0)
            fleet.kill_directories(len(fleet.directories), 0.6)
        fleet.run(20.0)
        self.assert_bound_holds(fleet)

    def test_the_granting_directory_stalls(self):
        fleet = self.make_fleet()
        fleet.run(1.0)
        fleet.pause_directory(0, 4.0)
        fleet.fail(0.8, 11.0)
        fleet.run(20.0)
        self.assert_bound_holds(fleet)

    def test_halves_partitioned_from_each_other(self):
        fleet = self.make_fleet()
        fleet.run(1.0)
        fleet.partition(0.5, 30.0)
        for _ in range(4):
            fleet.fail(0.8, 8.0)
            fleet.run(9.0)
        self.assert_bound_holds(fleet)

    def test_random_schedules(self):
        broken = {}
        kills = retries = alone = 0
        for seed in SEEDS:
            fleet = fleets.play(seed)
            kills += fleet.kills
            alone += fleet.alone
            retries += len(fleet.retries)
            if found := fleet.list_breaches():
                broken[seed] = found[0]
        self.assertGreater(kills, 500)
        self.assertGreater(alone, 500)
        self.assertGreater(retries, 5000)
        self.assertEqual(broken, {})

    def test_random_schedules_of_pairs_cut_apart(self):
        """Guards against directories that each grant what only a third one knows of."""
        broken = {}
        retries = 0
        for seed in CUT_SEEDS:
            fleet = fleets.play_cuts(seed)
            retries += len(fleet.retries)
            if found := fleet.list_breaches():
                broken[seed] = found[0]
        self.assertGreater(retries, 5000)
        self.assertEqual(broken, {})
