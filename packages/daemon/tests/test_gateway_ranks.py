"""How urgent a forwarded request is at its upstream, and what the logs tell of it."""

import contextlib
import unittest

from packages.daemon.tests import gateway_bench as bench

TIER_HEADER = "Trestlestall-Tier"


def make_document(**changes):
    """Return routes of tiers 0 and 2, and workspaces of tiers 0 and 1."""
    routes = (
        bench.make_route("questions", tier=0, streams=True, pause_seconds=0.1),
        bench.make_route("digests", tier=2, streams=True, pause_seconds=0.6),
    )
    workspaces = [
        {"name": "urgent", "keys": ["k-urgent"], "tier": 0},
        {"name": "usual", "keys": ["k-usual"], "tier": 1},
    ]
    whole = {**bench.DOCUMENT, "routes": routes, "workspaces": workspaces}
    return {**whole, **changes}


class RankCase(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.bench = bench.Bench(self.stack, make_document())
        self.upstream = self.bench.add("u1", bench.answer(""))

    def send(self, route, workspace):
        """Return the rank with which a request reaches the upstream."""
        self.bench.ask(f"/{route}/x", Authorization=f"Bearer k-{workspace}")
        return int(self.upstream.received[-1].find(TIER_HEADER))


class LogTest(RankCase):
    """From a request's line to why its upstream put it back."""

    def test_a_send_tells_of_which_tiers_its_rank_is_made(self):
        rank = self.send("digests", "usual")
        (line,) = self.bench.list_lines("forward_sent")
        told = line["tier"], line["route_tier"], line["workspace_tier"]
        self.assertEqual(told, (rank, 2, 1))

    def test_a_send_tells_how_full_the_upstream_is(self):
        self.send("questions", "usual")
        (line,) = self.bench.list_lines("forward_sent")
        self.assertEqual(line["taken_by_all"], 1)
