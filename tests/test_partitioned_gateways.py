"""Gateways that are partitioned from upstreams serve their callers through others.

Failure guarded against: gateways that lost their links to all upstreams served none of
their callers, while callers and the other gateways still reached them.
"""

import collections
import contextlib
import tempfile
import time
import unittest

from tests import cut_links, gateways, signalling

#: Seconds from the cut on after which first tries at both kinds of gateways are served
#: alike, and the least ratio of the shares that are served.
KNOWN_SECONDS = 1.0
LEAST_RATIO = 0.98
CUT_SECONDS = 6.0
#: Seconds after the cut's end in which callers must notice nothing.
AFTER_SECONDS = 2.0
#: Requests a second that callers send to all gateways.
RATE = 60.0
PATHS = ("/once/", "/again/")


def make_document():
    """Return a declaration with a route for each kind of request."""
    (route,) = gateways.make_document(5)["routes"]
    once = {**route, "name": "once", "prefix": "/once/"}
    again = {**route, "name": "again", "prefix": "/again/"}
    again.update(idempotent=True, attempts=2)
    return gateways.make_document(5, routes=[once, again])


class PartitionCase(unittest.TestCase):
    """A deployment whose gateways each have links of their own to the upstreams."""

    gateways = 6
    upstreams = 3

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        temporary = tempfile.TemporaryDirectory(prefix="trestle-")
        folder = self.stack.enter_context(temporary)
        self.system = gateways.Deployment(folder, gateways=self.gateways)
        opened = cut_links.open_links(folder, self.system.gateways)
        self.links = self.stack.enter_context(opened)
        self.system.hosts.update(self.links)
        self.stack.callback(self.system.stop_all)
        self.start()
        self.assertEqual(self.system.declare(make_document()), 200)
        self.ports = [self.system.ports[name] for name in self.system.names]
        self.started = [self.add(f"u{number}") for number in range(self.upstreams)]
        self.callers = signalling.Callers(self.system, RATE, PATHS)
        for name in self.system.gateways:
            gateways.wait_until(lambda one=name: self.serves(one), name)

    def start(self):
        """Start directories and gateways."""
        self.system.start_all()

    def add(self, identity):
        """Start an upstream."""
        made = signalling.Upstream(self.ports, identity)
        self.stack.callback(made.stop)
        for links in self.links.values():
            links.add(made.address)
        return made

    def serves(self, name):
        """Return whether a gateway serves a request."""
        return self.callers.ask(name).status == 200

    def play(self, way, names, seconds=CUT_SECONDS, chosen=None):
        """Cut gateways from upstreams under load; return when the cut began."""
        with self.callers.generate_load(self.system.gateways):
            time.sleep(1.0)
            begun = time.monotonic()
            for name in names:
                self.links[name].cut(way, chosen)
            time.sleep(seconds)
            for name in names:
                self.links[name].heal()
            self.healed_at = time.monotonic()
            time.sleep(AFTER_SECONDS)
        return begun

    def count_served(self, names, begun, ended):
        """Return how many first tries in a span were served, and how many came."""
        found = [
            answer.status == 200
            for at, name, _, answer in self.callers.answers
            if name in names and begun <= at < ended
        ]
        return sum(found), len(found)

    def check_served_alike(self, names, begun):
        """Check that callers of partitioned gateways are served as often as others."""
        others = set(self.system.gateways) - set(names)
        since = begun + KNOWN_SECONDS
        served, count = self.count_served(names, since, self.healed_at)
        served_there, count_there = self.count_served(others, since, self.healed_at)
        unserved = self.callers.list_failures(since)
        told = (
            f"{served} of {count}, others {served_there} of {count_there}: {unserved}"
        )
        share_there = served_there / count_there if count_there else 1.0
        self.assertGreaterEqual(share_there, LEAST_RATIO, told)
        self.assertGreaterEqual(served / count, LEAST_RATIO * share_there, told)

    def check_promises(self):
        """Check that nothing ran twice, nor what was refused as not run."""
        arrivals = [one for each in self.started for one in each.list_arrivals()]
        runs = collections.Counter(one.request for one in arrivals)
        for _, _, request, answer in self.callers.answers:
            is_once = self.get_path(request) == "/once/"
            self.assertLessEqual(runs[request], 1 if is_once else 2, request)
            if answer.status == 503:
                self.assertEqual(runs[request], 0, request)

    def get_path(self, request):
        """Return the path that a request was sent to."""
        number = int(request.removeprefix("r"))
        return PATHS[number // self.gateways % len(PATHS)]

    def check_way_back(self):
        """Check that callers did not notice the end of the cut."""
        self.assertEqual(self.callers.list_failures(self.healed_at), [])


class AllUpstreamsTest(PartitionCase):
    def check_cut(self, way, count):
        cut_off = self.system.gateways[:count]
        begun = self.play(way, cut_off)
        self.check_promises()
        self.check_served_alike(cut_off, begun)
        self.check_way_back()

    def test_callers_of_one_gateway_whose_links_hang_are_served(self):
        self.check_cut("hang", 1)

    def test_callers_of_most_gateways_whose_links_hang_are_served(self):
        self.check_cut("hang", 5)

    def test_callers_of_two_gateways_whose_links_are_reset_are_served(self):
        self.check_cut("reset", 2)

    def test_callers_of_most_gateways_whose_links_are_reset_are_served(self):
        self.check_cut("reset", 5)

    def test_callers_of_two_gateways_whose_new_links_are_refused_are_served(self):
        self.check_cut("refuse", 2)


class SomeUpstreamsTest(PartitionCase):
    """Some upstreams, peers or directories are gone besides."""

    def check_some(self, count):
        chosen = [one.address for one in self.started[:count]]
        cut_off = self.system.gateways[:2]
        begun = self.play("hang", cut_off, chosen=chosen)
        self.check_promises()
        self.check_served_alike(cut_off, begun)
        self.check_way_back()

    def test_callers_are_served_if_one_upstream_is_out_of_reach(self):
        self.check_some(1)

    def test_callers_are_served_if_all_but_one_are_out_of_reach(self):
        self.check_some(2)
        # The one that is within reach does not get all.
        at_last = len(self.started[-1].list_arrivals())
        total = sum(len(one.list_arrivals()) for one in self.started)
        self.assertLess(at_last, 0.6 * total)

    def test_callers_are_served_without_any_directory(self):
        for name in self.system.names:
            self.system.running[name].kill()
        cut_off = self.system.gateways[:2]
        begun = self.play("hang", cut_off)
        self.check_promises()
        self.check_served_alike(cut_off, begun)

    def test_callers_are_served_after_directories_and_gateways_started_again(self):
        name = self.system.names[0]
        self.system.running[name].kill()
        self.system.start_directory(name)
        restarted = self.system.gateways[0]
        self.system.running[restarted].stop()
        self.system.start_gateway(restarted)
        gateways.wait_until(lambda: self.serves(restarted), restarted)
        cut_off = self.system.gateways[:2]
        begun = self.play("reset", cut_off)
        self.check_promises()
        self.check_served_alike(cut_off, begun)

    def test_callers_are_served_after_the_helping_peer_was_lost(self):
        cut_off = self.system.gateways[:4]
        lost = self.system.gateways[4]
        with self.callers.generate_load([*cut_off, self.system.gateways[5]]):
            time.sleep(1.0)
            for name in cut_off:
                self.links[name].cut("hang")
            time.sleep(2.0)
            begun = time.monotonic()
            self.system.running[lost].kill()
            time.sleep(4.0)
            self.healed_at = time.monotonic()
            for name in cut_off:
                self.links[name].heal()
        self.check_promises()
        self.check_served_alike(cut_off, begun)


class NobodyTest(PartitionCase):
    gateways = 3

    def test_callers_are_refused_at_once_and_spread_if_all_are_cut_off(self):
        begun = self.play("hang", self.system.gateways, seconds=4.0)
        since = begun + KNOWN_SECONDS
        refused = [
            (request, answer)
            for at, _, request, answer in self.callers.answers
            if since <= at < self.healed_at - KNOWN_SECONDS
        ]
        self.assertEqual({answer.status for _, answer in refused}, {503})
        self.check_promises()
        lines = [
            line
            for name in self.system.gateways
            for line in self.system.running[name].read_events()
            if line["name"] == "forward_refused"
            and line["request"] in {request for request, _ in refused}
        ]
        self.assertEqual(len(lines), len(refused))
        slowest = max(lines, key=lambda line: line["seconds"])
        self.assertLess(slowest["seconds"], 0.5, slowest)
        self.assertGreater(len({line["retry_after"] for line in lines}), 10)


class FirstGatewayTest(PartitionCase):
    """The other gateways start only after one is linked."""

    gateways = 3

    def start(self):
        first, *others = self.system.gateways
        for name in self.system.names:
            self.system.start_directory(name, founding=True)
        self.system.start_gateway(first)
        process = self.system.running[first]
        gateways.wait_until(
            lambda: process.read_log().count('"link_up"') == len(self.system.names),
            first,
        )
        for name in others:
            self.system.start_gateway(name)

    def test_callers_of_a_gateway_that_was_linked_first_are_served_without_directories(
        self,
    ):
        time.sleep(KNOWN_SECONDS)
        for name in self.system.names:
            self.system.running[name].kill()
        cut_off = self.system.gateways[:1]
        begun = self.play("hang", cut_off)
        self.check_promises()
        self.check_served_alike(cut_off, begun)
