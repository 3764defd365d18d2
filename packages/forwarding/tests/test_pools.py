"""QoS classes get pools of upstreams, and keep them as long as they can."""

import functools
import unittest

from packages.forwarding.tests import overload, samples, world
from trestlestall.duties import supply
from trestlestall.forwarding import feature_flags, model, placement, pools, upstreams

SHORT, MIDDLE, LONG = 0.2, 0.3, 0.8
SIZES = {SHORT: 1_500.0, MIDDLE: 10_000.0, LONG: 20_000.0}
ALL = feature_flags.Features(
    keeps_apart=True, refuses_by_forecast=True, learns_speeds=True
)


def make_members(count=24, **changes):
    """Return upstreams of one speed in four data centres."""
    made = {"rate": 90_000.0, "backlog": 0.0, "slots": 48, "streams": {}, **changes}
    return [
        pools.Member(f"u{number}", "abcd"[number % 4], **made)
        for number in range(count)
    ]


def ask(tested, rates, seconds=2.0, begin=0.0):
    """Record requests of each class at so many tokens a second."""
    for step in range(int(seconds * 20)):
        for qos_class, rate in rates.items():
            tested.demand.record(
                qos_class, SIZES[qos_class], rate / 20, begin + step / 20
            )
    return begin + seconds


class PartitionTest(unittest.TestCase):
    def test_classes_share_a_pool_if_pauses_hold_during_a_slowdown(self):
        found = pools.partition_classes(SIZES, 90_000.0)
        self.assertEqual(found, ((SHORT,), (MIDDLE,), (LONG,)))
        found = pools.partition_classes(SIZES, 900_000.0)
        self.assertEqual(found, ((SHORT, MIDDLE, LONG),))

    def test_separate_classes_stay_separate_near_the_bound(self):
        sizes = {SHORT: 1_500.0, MIDDLE: 7_500.0}
        shared = ((SHORT, MIDDLE),)
        apart = ((SHORT,), (MIDDLE,))
        self.assertEqual(pools.partition_classes(sizes, 100_000.0, shared), shared)
        self.assertEqual(pools.partition_classes(sizes, 100_000.0, apart), apart)
        self.assertEqual(pools.partition_classes(sizes, 130_000.0, apart), shared)


class DemandTest(unittest.TestCase):
    def test_earlier_demand_counts_in_any_order(self):
        at = [number / 20 for number in range(100)]
        observed, received = pools.Demand(), pools.Demand()
        for when in at:
            observed.record(LONG, SIZES[LONG], 1_000, when)
        for when in at[::2] + at[::-2]:
            received.record_earlier(LONG, SIZES[LONG], 1_000, when)
        for demand in (observed, received):
            self.assertAlmostEqual(demand.find_rate(LONG, 5.0), 20_000, delta=5_000)
            self.assertEqual(demand.find_rate(LONG, 15.0), 0.0)
        self.assertEqual(observed.sizes, received.sizes)


class PoolsTest(unittest.TestCase):
    rates = {SHORT: 60_000.0, MIDDLE: 200_000.0, LONG: 900_000.0}

    def rebalance(self, rates, members):
        """Return pools that have recorded the rates for a while."""
        tested = pools.Pools()
        now = ask(tested, rates)
        tested.rebalance(members, now)
        return tested

    def count(self, tested):
        return [tested.count().get(qos_class, 0) for qos_class in (SHORT, MIDDLE, LONG)]

    def test_short_pauses_get_a_multiple_of_their_prefill(self):
        short, middle, long = self.count(self.rebalance(self.rates, make_members()))
        self.assertGreaterEqual(short, pools.MIN_MEMBERS)
        self.assertGreaterEqual(middle, 200_000 / 90_000 / pools.TIGHT_SHARE)
        self.assertGreater(long, middle)

    def test_the_tolerant_class_keeps_most_of_scarce_capacity(self):
        burst = {**self.rates, LONG: 4_000_000.0}
        calm = self.count(self.rebalance(self.rates, make_members()))
        short = self.count(self.rebalance(burst, make_members()))
        self.assertGreater(short[2], calm[2])
        self.assertGreaterEqual(short[1], 200_000 / 90_000)

    def test_data_centres_take_turns(self):
        members = make_members()
        tested = self.rebalance(self.rates, members)
        members_of_pool = tested.list_members(tested.find_pool(MIDDLE))
        places = {one.data_centre for one in members if one.identity in members_of_pool}
        self.assertGreater(len(places), 2)

    def test_a_lost_member_is_replaced_and_the_others_stay(self):
        members = make_members()
        tested = self.rebalance(self.rates, members)
        before = tested.list_members(0)
        lost = min(before)
        remaining = [one for one in members if one.identity != lost]
        tested.rebalance(remaining, 2.0)
        after = tested.list_members(0)
        self.assertEqual(len(after), len(before))
        self.assertLessEqual(before - {lost}, after)

    def test_the_same_demand_changes_nothing(self):
        members = make_members()
        tested = self.rebalance(self.rates, members)
        before = [tested.list_members(number) for number in range(3)]
        now = 2.0
        for _ in range(20):
            now = ask(tested, self.rates, 0.25, now)
            tested.rebalance(members, now)
        after = [tested.list_members(number) for number in range(3)]
        self.assertEqual(before, after)

    def test_a_successor_keeps_pools_where_their_streams_are(self):
        streams = {SHORT: 20}
        members = [
            *make_members(20),
            *(
                pools.Member(f"v{number}", "abcd"[number], 90_000.0, 0.0, 48, streams)
                for number in range(4)
            ),
        ]
        tested = self.rebalance(self.rates, members)
        self.assertLessEqual(tested.list_members(0), {"v0", "v1", "v2", "v3"})

    def test_an_idle_class_releases_its_upstreams(self):
        members = make_members()
        tested = self.rebalance(self.rates, members)
        remaining = {qos_class: self.rates[qos_class] for qos_class in (SHORT, LONG)}
        now = ask(tested, remaining, pools.IDLE_SECONDS + 1.0, 2.0)
        tested.rebalance(members, now)
        self.assertEqual(tested.count().keys(), {SHORT, LONG})
        self.assertEqual(sum(tested.count().values()), len(members))
        self.assertIsNone(tested.find_pool(MIDDLE))

    def test_a_single_class_has_all_upstreams(self):
        tested = self.rebalance({LONG: 900_000.0}, make_members())
        self.assertIsNone(tested.find_pool(LONG))

    def test_too_few_upstreams_are_not_divided(self):
        tested = self.rebalance(self.rates, make_members(5))
        self.assertIsNone(tested.find_pool(LONG))

    def test_an_empty_service_has_no_pools(self):
        tested = self.rebalance(self.rates, [])
        self.assertIsNone(tested.find_pool(LONG))


class PlacerTest(unittest.TestCase):
    """Pools are used where settings and size call for them, and nowhere else."""

    def build(self, features, count=24, slots=48, token_seconds=0.0, scaling=None):
        placer = placement.Placer(features)
        engine = model.Engine(slots, 400_000, token_seconds)
        service = model.Service("engines", "/healthz", 100, engine, scaling)
        configuration = samples.make_configuration(services={"engines": service})
        rows = [
            samples.make_row(
                f"u{number}",
                slots=slots,
                data_centre="abcd"[number % 4],
                version="v1",
            )
            for number in range(count)
        ]
        placer.set_upstreams(rows, configuration, 0.0)
        return placer

    def place(self, placer, number, now, pause, tokens, **changes):
        descriptor = samples.make_descriptor(
            f"r{number}", tokens, pause_seconds=pause, first_seconds=90.0, **changes
        )
        return placer.place(descriptor, now)

    def place_mixed(self, placer):
        """Place short and long prompts in turn; return where each class went."""
        went = {SHORT: set(), LONG: set()}
        for number in range(300):
            pause, tokens = ((SHORT, 1_500), (LONG, 20_000))[number % 2]
            found = self.place(placer, number, number / 100, pause, tokens)
            if number >= 100:
                went[pause].add(found.row.identity)
        return went

    def test_classes_are_kept_apart(self):
        went = self.place_mixed(self.build(ALL))
        self.assertFalse(went[SHORT] & went[LONG])

    def take_over(self, before, now, count=1):
        """Return a placer that was notified, so many times, what runs where."""
        after = self.build(ALL)
        for _ in range(count):
            for engine in before.engines.values():
                for task in tuple(engine.tasks.values()):
                    after.end(task.descriptor.request_id, now)
                    age = now - task.placed_at
                    after.adopt(task.descriptor, engine.identity, now, age)
        return after

    def test_who_takes_over_keeps_kinds_apart_from_the_first_request_on(self):
        before = self.build(ALL)
        self.place_mixed(before)
        short = before.pooling.pools["engines"].find_pool(SHORT)
        members_of_pool = before.pooling.pools["engines"].list_members(short)
        after = self.take_over(before, 3.01)
        found = self.place(after, "next", 3.01, LONG, 20_000)
        self.assertNotIn(found.row.identity, members_of_pool)
        self.assertIsNotNone(after.pooling.pools["engines"].find_pool(SHORT))

    def test_demand_that_is_reported_twice_counts_once(self):
        before = self.build(ALL)
        self.place_mixed(before)
        rates = [
            self.take_over(before, 3.01, count)
            .pooling.pools["engines"]
            .demand.find_rate(LONG, 3.01)
            for count in (1, 2)
        ]
        self.assertGreater(rates[0], 0)
        self.assertEqual(rates[0], rates[1])

    def test_without_the_feature_all_serve_all(self):
        placer = self.build(feature_flags.NONE)
        self.place_mixed(placer)
        self.assertFalse(placer.pooling.pools)

    def test_a_small_service_is_served_as_before(self):
        for count, slots in ((23, 48), (24, 24)):
            with self.subTest(count=count, slots=slots):
                on = self.build(ALL, count, slots)
                off = self.build(feature_flags.NONE, count, slots)
                self.assertEqual(self.place_mixed(on), self.place_mixed(off))
                self.assertEqual(on.pooling.list_speeds(), {})

    def test_in_an_autoscaled_service_all_serve_all(self):
        terms = supply.Terms(1, 60, 4.0, {})
        autoscaled, off = self.build(ALL, scaling=terms), self.build(feature_flags.NONE)
        self.assertEqual(self.place_mixed(autoscaled), self.place_mixed(off))

    def test_a_pool_that_was_tried_is_not_waited_for(self):
        placer = self.build(ALL)
        self.place_mixed(placer)
        number = placer.pooling.pools["engines"].find_pool(SHORT)
        members_of_pool = placer.pooling.pools["engines"].list_members(number)
        descriptor = samples.make_descriptor("late", 1_500, pause_seconds=SHORT)
        found = placer.place(descriptor, 3.01, members_of_pool)
        self.assertIsInstance(found, placement.Placed)
        self.assertNotIn(found.row.identity, members_of_pool)

    def test_blocks_are_fetched_from_other_pools(self):
        placer = self.build(ALL, token_seconds=1e-7)
        self.place_mixed(placer)
        tested = placer.pooling.pools["engines"]
        holder = min(tested.list_members(tested.find_pool(SHORT)))
        blocks = (("shared", 18_000), ("own", 100))
        for request in ("first", "second"):
            descriptor = samples.make_descriptor(
                request, 18_100, blocks, pause_seconds=LONG, first_seconds=90.0
            )
            if request == "first":
                placer.adopt(descriptor, holder, 3.0)
                placer.record_first_event(request, 3.2)
        found = placer.place(descriptor, 3.3)
        self.assertNotEqual(found.row.identity, holder)
        self.assertEqual(found.fetch_from, placer.rows[holder].address)

    def test_an_idle_upstream_of_another_pool_is_not_left_idle(self):
        placer = self.build(ALL)
        self.place_mixed(placer)
        tested = placer.pooling.pools["engines"]
        number = tested.find_pool(SHORT)
        idle = min(tested.list_members(number))
        for request in tuple(placer.engines[idle].tasks):
            placer.end(request, 3.0)
        descriptor = samples.make_descriptor(
            "late", 20_000, pause_seconds=LONG, first_seconds=0.5, may_return=True
        )
        found = placer.place(descriptor, 3.01)
        self.assertEqual(found.row.identity, idle)

    def test_a_failing_upstream_is_no_capacity(self):
        placer = self.build(ALL)
        self.place_mixed(placer)
        tested = placer.pooling.pools["engines"]
        members_of_pool = tested.list_members(tested.find_pool(SHORT))
        for identity in members_of_pool:
            for _ in range(10):
                placer.record_outcome(identity, "a", True)
        self.place(placer, "after", 4.0, SHORT, 1_500)
        self.assertFalse(tested.list_members(tested.find_pool(SHORT)) & members_of_pool)

    def test_a_draining_upstream_leaves_its_pool(self):
        placer = self.build(ALL, 30)
        self.place_mixed(placer)
        tested = placer.pooling.pools["engines"]
        drained = min(tested.list_members(tested.find_pool(SHORT)))
        remaining = [
            row if row.identity != drained else samples.make_row(drained, 2, DRAINING)
            for row in placer.rows.values()
        ]
        placer.set_upstreams(remaining, None, 4.0)
        found = self.place(placer, "after", 4.0, SHORT, 1_500)
        self.assertNotEqual(found.row.identity, drained)
        self.assertNotIn(drained, tested.list_members(tested.find_pool(SHORT)))


DRAINING = upstreams.State.DRAINING


class BurstTest(unittest.TestCase):
    """Capacity is too small: what each class gets, with and without pools."""

    @staticmethod
    @functools.cache
    def find_shares(features):
        stats = overload.play(features)
        shares = [overload.find_share(stats, one) for one in overload.CLASSES]
        return overload.find_total_share(stats), shares

    def play_takeovers(self, with_speeds):
        """Return what all got while another process took over each second."""
        made = overload.build(ALL)
        for second in range(1, 9):
            made.at(float(second), made.take_over, with_speeds)
        return overload.find_total_share(world.play(made, overload.BURST))

    def test_the_largest_prompts_are_served_more_than_half_as_often(self):
        largest, all_served = overload.count_served(
            overload.build(ALL), overload.BURST, 2
        )
        self.assertGreater(largest, 0.5 * all_served)

    def test_takeovers_cost_callers_little(self):
        # A successor without the demand admitted long prompts beside tight pauses.
        undisturbed, _ = self.find_shares(ALL)
        with_speeds = self.play_takeovers(with_speeds=True)
        self.assertGreater(with_speeds, undisturbed - 0.1)
        self.assertGreater(with_speeds, self.play_takeovers(with_speeds=False) + 0.03)

    def test_all_get_more_and_the_worst_class_most(self):
        before, shares_before = self.find_shares(feature_flags.NONE)
        after, shares_after = self.find_shares(ALL)
        self.assertGreater(after, before + 0.1)
        self.assertGreater(min(shares_after), min(shares_before) + 0.05)
        for urgent, less in zip(shares_after[1:], shares_after, strict=False):
            self.assertGreater(urgent, less - 0.15)
