"""How urgent a forwarded request is at its upstream, and what the logs tell of it.

What users saw: in an overload helpline questions were put back in the middle of their
answers, 15 to 30 at one engine within a second, while long digests ran on beside them.

The order of events: one workspace sent many times its usual, the helpline's questions
doubled, and a quarter of the engines went dark, so that the others had more requests
than slots. A question of an urgent workspace came to an engine that ran questions of
usual workspaces and one digest of an urgent one. The engine put back a question.

The cause: a rank was the workspace's tier first, and the route's only among requests
of equal workspaces. The digest was ahead of the question by its workspace, although it
can wait eight times as long. Besides, a rank was the place among all pairs of tiers of
one declaration: adding a workspace changed the rank of all requests behind it, and an
engine compares requests of both declarations.

The evidence: the order of ranks alone decided. With the workspace's tier first, four of
seven plays of such a load were judged wrong; with the route's tier first none of six,
where 59 to 162 requests were put back. Reports of one engine at that time show some 40
questions of rank 3, 5 to 10 of rank 0 and one digest of rank 2, and nothing behind rank
3; no single put-back was seen in them.
"""

import random

from packages.daemon.tests import gateway_bench as bench
from trestlestall.standins import batching

TIER_HEADER = "Trestlestall-Tier"
#: Tiers of routes that are told apart: the most that operators are known to use.
TIERS = 8
QUESTIONS = 0
DIGESTS = 2


def make_document(route_tiers=(QUESTIONS, DIGESTS), workspace_tiers=(0, 1)):
    """Return routes and workspaces of these tiers; ``None`` is a workspace's none."""
    routes = [
        bench.make_route(f"route-{tier}", tier=tier, streams=True, pause_seconds=0.1)
        for tier in route_tiers
    ]
    workspaces = [
        {"name": f"of-{tier}", "keys": [f"key-{tier}"], "tier": tier}
        for tier in workspace_tiers
    ]
    return {**bench.DOCUMENT, "routes": routes, "workspaces": workspaces}


class RankCase(bench.GatewayCase):
    document = None

    def setUp(self):
        super().setUp()
        self.upstream = self.bench.add("u1", bench.answer(""))
        self.version = 0

    def declare(self, **tiers):
        """Put another declaration in force."""
        self.version += 1
        self.bench.declare(make_document(**tiers), self.version)

    def send(self, route_tier, workspace_tier):
        """Return the rank with which a request reaches the upstream."""
        key = f"Bearer key-{workspace_tier}"
        self.bench.ask(f"/route-{route_tier}/x", Authorization=key)
        return int(self.upstream.received[-1].find(TIER_HEADER))


class DisplacementTest(RankCase):
    """What an engine that goes by our ranks puts back when it is full."""

    def test_no_question_is_put_back_while_a_digest_runs_on(self):
        self.declare()
        batch = batching.Batch(slots=4, waiting_limit=10, pace=batching.Pace())
        urgent = self.send(QUESTIONS, 0)
        jobs = [("digest", self.send(DIGESTS, 0))]
        jobs += [(f"question-{number}", self.send(QUESTIONS, 1)) for number in "123"]
        for name, rank in jobs:
            batch.submit(batching.Job(name, rank, 0, 50))
        batch.step()
        for number in "12":
            batch.submit(batching.Job(f"urgent-{number}", urgent, 0, 50))
            displaced = batch.step().displaced
            if any(name.startswith("question") for name in displaced):
                self.assertNotIn("digest", batch.running)


class OrderTest(RankCase):
    """Ranks of all pairs of tiers, each with each."""

    def test_a_more_urgent_route_is_ahead_whatever_the_workspaces(self):
        owners = (None, *range(TIERS))
        self.declare(route_tiers=range(TIERS), workspace_tiers=owners)
        ranks = {
            tier: [self.send(tier, owner) for owner in owners] for tier in range(TIERS)
        }
        for tier in range(1, TIERS):
            self.assertLess(max(ranks[tier - 1]), min(ranks[tier]), tier)

    def test_of_one_route_no_less_urgent_workspace_is_ahead(self):
        self.declare(route_tiers=range(TIERS), workspace_tiers=range(TIERS))
        for tier in range(TIERS):
            ranks = [self.send(tier, owner) for owner in range(TIERS)]
            self.assertEqual(ranks, sorted(ranks), tier)

    def test_an_urgent_workspace_is_ahead_among_questions(self):
        self.declare()
        self.assertLess(self.send(QUESTIONS, 0), self.send(QUESTIONS, 1))


class VersionsTest(RankCase):
    """Gateways are a version apart at times, and requests outlast a declaration."""

    def test_a_rank_means_the_same_in_every_declaration(self):
        draw = random.Random(1)
        known = {}
        for _ in range(20):
            routes = draw.sample(range(TIERS), draw.randint(1, 6))
            owners = draw.sample((None, *range(TIERS)), draw.randint(1, 6))
            self.declare(route_tiers=routes, workspace_tiers=owners)
            for pair in [(route, owner) for route in routes for owner in owners]:
                rank = self.send(*pair)
                self.assertEqual(known.setdefault(pair, rank), rank, pair)


class LogTest(RankCase):
    """From a request's line to why its upstream put it back."""

    def test_a_send_tells_of_which_tiers_its_rank_is_made(self):
        self.declare()
        rank = self.send(DIGESTS, 1)
        (line,) = self.bench.list_lines("forward_sent")
        told = line["rank"], line["route_tier"], line["workspace_tier"]
        self.assertEqual(told, (rank, DIGESTS, 1))

    def test_a_send_tells_how_full_the_upstream_is(self):
        self.declare()
        self.send(QUESTIONS, 1)
        (line,) = self.bench.list_lines("forward_sent")
        self.assertEqual(line["taken_by_all"], 1)
