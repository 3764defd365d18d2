"""Random schedules of a fleet whose upstream advertises a limit: the promise holds.

The promise: from 3 s after the first advertisement, in no 4 s an upstream gets more
than one and a half times its limit plus five requests. It covers the gateways that had
been notified half a second before; one that was partitioned or restarted in the last
3 s is excused.
"""

import unittest

from packages.forwarding.tests import limit_world

SPAN_SECONDS, SETTLING_SECONDS, NOTIFIED_SECONDS, EXCUSED_SECONDS = 4.0, 3.0, 0.5, 3.0
FACTOR, EXTRA = 1.5, 5
SEEDS = 60


def find_excess(world, arrivals):
    """Return by how many requests the promise is broken at worst; 0 if it holds."""
    notified = [one.notified_at for one in arrivals if one.notified_at is not None]
    if not notified:
        return 0
    begin = min(notified) + SETTLING_SECONDS
    counted = [
        one.at
        for one in arrivals
        if one.at >= begin
        and one.notified_at is not None
        and one.at >= one.notified_at + NOTIFIED_SECONDS
        and one.at >= one.disturbed_at + EXCUSED_SECONDS
    ]
    allowed = FACTOR * world.limit * SPAN_SECONDS + EXTRA
    spans = (sum(at <= one < at + SPAN_SECONDS for one in counted) for at in counted)
    return max(0, max(spans, default=0) - allowed)


def list_broken(seeds, **changes):
    """Return the seeds whose schedule breaks the promise, and by how much."""
    broken = {}
    for seed in seeds:
        world = limit_world.World(seed, **changes)
        excess = find_excess(world, world.play())
        if excess:
            broken[seed] = excess
    return broken


class ScheduleTest(unittest.TestCase):
    def test_the_promise_holds(self):
        self.assertEqual(list_broken(range(SEEDS)), {})

    def test_the_upstream_is_not_left_idle(self):
        for seed in range(20):
            world = limit_world.World(seed, disturbs=False)
            late = [
                one
                for one in world.play()
                if one.at >= limit_world.BEGIN_SECONDS + SETTLING_SECONDS
            ]
            seconds = limit_world.SECONDS - limit_world.BEGIN_SECONDS - SETTLING_SECONDS
            with self.subTest(seed):
                self.assertGreaterEqual(len(late), 0.9 * world.limit * seconds - 2)

    def test_directories_that_are_held_up_keep_the_promise(self):
        self.assertEqual(list_broken(range(SEEDS), stalls=True), {})

    def test_directories_that_do_not_share_counts_break_it(self):
        self.assertEqual(set(list_broken((510, 984), shares_counts=False)), {510, 984})

    def test_the_checker_sees_a_breach(self):
        world = limit_world.World(1, disturbs=False)
        world.limit = 1.0
        arrivals = [
            limit_world.Arrival(10.0 + number / 10, 0, 5.0, -100.0)
            for number in range(12)
        ]
        self.assertEqual(find_excess(world, arrivals), 1)
        self.assertEqual(find_excess(world, arrivals[1:]), 0)


if __name__ == "__main__":
    unittest.main()
