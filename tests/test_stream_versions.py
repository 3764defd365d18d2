"""A stream goes on only at the software version that began it.

Failure guarded against: with two versions in one service, half of the streams that went
on elsewhere, within an answer or at another gateway, held events of both.
"""

import contextlib
import signal
import tempfile
import threading
import time
import unittest

from tests import cut_links, gateways, versioned_streams

#: Share of taken-up streams that go on, against that of new ones that begin.
LEAST_RATIO = 0.95
RATE = 20.0
VERSIONS = ("v1", "v2")


class VersionsCase(unittest.TestCase):
    """Three directories, four gateways, and six upstreams of two versions in turn."""

    upstreams = 6
    break_share = 0.0
    #: Number of directories to which upstreams announce themselves.
    announced_to = 3

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        temporary = tempfile.TemporaryDirectory(prefix="trestle-")
        folder = self.stack.enter_context(temporary)
        self.system = gateways.Deployment(folder, gateways=4)
        self.system.settings["retries"] = {"ratio": 5.0, "slack": 50.0}
        self.stack.callback(self.system.stop_all)
        self.start()
        self.assertEqual(self.system.declare(versioned_streams.make_document()), 200)
        names = self.system.names[: self.announced_to]
        self.ports = [self.system.ports[name] for name in names]
        self.made = [
            self.add(f"u{number}", VERSIONS[number % len(VERSIONS)])
            for number in range(self.upstreams)
        ]
        self.callers = versioned_streams.Callers(self.system, RATE)
        for name in self.system.gateways:
            gateways.wait_until(lambda one=name: self.knows_all(one), name)

    def start(self):
        """Start directories and gateways."""
        self.system.start_all()

    def add(self, identity, version, **options):
        """Start an upstream."""
        made = versioned_streams.Upstream(
            self.ports, identity, version, self.break_share, **options
        )
        self.stack.callback(made.stop)
        return made

    def knows_all(self, name):
        """Return whether a gateway has every upstream."""
        text = gateways.ask(self.system.ready[name], "GET", "/metrics").body.decode()
        wanted = f"trestlestall_forward_upstreams {float(self.upstreams)}"
        return wanted in text and self.system.is_ready(name)

    def kill_gateways(self, *names, after=0.8):
        """Kill gateways in the middle of streams, one after the other, for good."""
        for name in names:
            time.sleep(after)
            self.system.running[name].kill()

    def check_versions(self):
        """Check that each stream is of one version, without a gap or a repetition."""
        mixed = len(self.callers.list_mixed())
        told = f"{mixed} of {len(self.callers.streams)} hold two versions"
        self.assertEqual(mixed, 0, told)
        self.assertEqual(self.callers.list_out_of_order(), [])

    def check_refusals(self):
        """Check that what was refused has not run, and that callers may come back."""
        seen = {request for one in self.made for request, _ in one.seen}
        for stream in self.callers.streams:
            for one in stream.tries:
                if one.status == 503:
                    self.assertNotIn(one.request, seen)
                    self.assertIn("Retry-After", one.headers)

    def check_streams(self, least_taken_up=1):
        """Check that each stream is of one version, and that enough went on."""
        self.check_versions()
        self.assertGreaterEqual(len(self.callers.list_takeups()), least_taken_up)
        taken_up = self.callers.list_taken_up()
        went_on = [one for one in taken_up if one.events]
        self.assertGreater(len(taken_up), 0)
        silent = [one for one in taken_up if not one.events]
        share = self.compute_share_begun()
        told = f"{silent} of {len(taken_up)} did not go on, {share} began"
        self.assertGreaterEqual(len(went_on) / len(taken_up), LEAST_RATIO * share, told)

    def compute_share_begun(self):
        """Return the share of new streams that began."""
        new = self.callers.list_new()
        return sum(one.events > 0 for one in new) / len(new)


class WithinAnswerTest(VersionsCase):
    break_share = 0.5

    def test_a_gateway_goes_on_only_at_the_version_that_began_the_answer(self):
        self.callers.run(4.0)
        broken = [
            one
            for one in self.callers.streams
            if len({u for _, _, u in one.events}) > 1
        ]
        self.assertGreater(len(broken), 10)
        self.check_versions()


class OtherGatewayTest(VersionsCase):
    def test_a_stream_taken_up_at_another_gateway_goes_on_at_its_version(self):
        first, second = self.system.gateways[:2]
        self.callers.run(4.0, lambda: self.kill_gateways(first, second, after=1.3))
        self.check_streams(least_taken_up=8)

    def test_a_stream_goes_on_after_the_gateway_of_its_second_try_is_gone_as_well(self):
        first, second, third = self.system.gateways[:3]

        def kill():
            time.sleep(1.0)
            self.kill_gateways(first, second, third, after=0.5)

        self.callers.run(4.0, kill)
        self.check_streams(least_taken_up=8)
        most = max(len(one.list_takeups()) for one in self.callers.streams)
        self.assertGreaterEqual(most, 2)

    def test_a_stream_goes_on_without_its_gateway_and_the_directory_that_places(self):
        placing = min(self.system.names, key=lambda one: str(self.system.links[one]))

        def kill():
            time.sleep(1.5)
            self.system.running[placing].kill()
            self.system.running[self.system.gateways[0]].kill()

        self.callers.run(4.0, kill)
        self.check_streams(least_taken_up=4)


class FirstEventTest(VersionsCase):
    #: Streams that begin at each gateway that is lost.
    streams = 8

    def test_streams_go_on_whose_gateway_is_lost_right_behind_their_first_events(self):
        lost = self.system.gateways[:3]
        self.callers.on_event = lambda name: name in lost and self.kill(name)
        for name in lost:
            beginning = [
                threading.Thread(target=self.callers.ask, args=(name,), daemon=True)
                for _ in range(self.streams)
            ]
            for one in beginning:
                one.start()
            for one in beginning:
                one.join()
        self.check_versions()
        taken_up = self.callers.list_taken_up()
        self.assertGreaterEqual(len(taken_up), len(lost))
        self.assertEqual([one for one in taken_up if not one.events], [])

    def kill(self, name):
        """Kill a gateway."""
        self.system.running[name].send_signal(signal.SIGKILL)


class LostDirectoriesTest(VersionsCase):
    def test_no_stream_is_of_two_versions_after_all_directories_started_again(self):
        def restart():
            time.sleep(1.0)
            for name in self.system.names:
                self.system.running[name].kill()
            for name in self.system.names:
                self.system.start_directory(name)
            self.kill_gateways(*self.system.gateways[:2], after=0.3)

        self.callers.run(4.0, restart)
        self.check_versions()
        self.check_refusals()

    def test_streams_go_on_after_all_directories_started_again_and_were_linked(self):
        def restart():
            for name in self.system.gateways:
                gateways.wait_until(lambda one=name: self.is_linked(one, 3), name)
            counts = {name: self.count_links(name) for name in self.system.gateways}
            for name in self.system.names:
                self.system.running[name].kill()
            for name in self.system.names:
                self.system.start_directory(name)
            for name, count in counts.items():
                wanted = count + len(self.system.names)
                gateways.wait_until(
                    lambda one=name, least=wanted: self.is_linked(one, least), name
                )
            self.kill_gateways(*self.system.gateways[:2])

        self.callers.run(6.0, restart)
        self.check_streams(least_taken_up=8)

    def count_links(self, name):
        """Return how many links to directories a gateway has opened so far."""
        return self.system.running[name].read_log().count('"link_up"')

    def is_linked(self, name, least):
        """Return whether a gateway has all links, after it opened that many."""
        text = gateways.ask(self.system.ready[name], "GET", "/metrics").body.decode()
        return self.count_links(name) >= least and "trestlestall_links 3.0" in text

    def test_a_gateway_that_no_directory_answers_goes_on_with_what_it_began_only(self):
        def stop():
            time.sleep(1.0)
            for name in self.system.names:
                self.system.running[name].send_signal(signal.SIGSTOP)
            self.kill_gateways(*self.system.gateways[:2], after=0.2)
            time.sleep(2.5)
            for name in self.system.names:
                self.system.running[name].send_signal(signal.SIGCONT)

        self.callers.run(4.0, stop)
        self.check_versions()
        self.check_refusals()


class CutOffTest(VersionsCase):
    """The links of one gateway to directories are cut alone."""

    def start(self):
        self.cut_off = self.system.gateways[0]
        opened = cut_links.open_links(self.system.folder, [self.cut_off])
        links = self.stack.enter_context(opened)
        self.system.hosts.update(links)
        self.links = links[self.cut_off]
        for address in self.system.first:
            self.links.add(address)
        super().start()

    def cut(self, chosen, lost):
        """Cut links after a second, and kill a gateway a little later."""
        time.sleep(1.0)
        self.links.cut("hang", chosen)
        self.kill_gateways(lost)

    def test_a_gateway_that_is_cut_off_goes_on_with_no_other_version(self):
        lost = self.system.gateways[1]
        self.callers.run(4.0, lambda: self.cut(self.system.first, lost))
        self.check_versions()
        self.check_refusals()
        tries = [
            one for one in self.callers.list_takeups() if one.gateway != self.cut_off
        ]
        went_on = sum(one.events > 0 for one in tries)
        self.assertGreater(len(tries), 2)
        self.assertGreaterEqual(went_on, LEAST_RATIO * len(tries))

    def test_no_stream_that_began_at_a_gateway_cut_off_goes_on_at_another_version(self):
        self.callers.run(4.0, lambda: self.cut(self.system.first, self.cut_off))
        self.check_versions()
        self.check_refusals()

    def test_streams_go_on_at_a_gateway_that_is_cut_off_from_the_directory_that_places(
        self,
    ):
        chosen = [min(self.system.first)]
        lost = self.system.gateways[1]
        self.callers.run(4.0, lambda: self.cut(chosen, lost))
        self.check_streams(least_taken_up=4)


class JoinedLaterTest(VersionsCase):
    """Upstreams of the next version join while one gateway is out of step."""

    upstreams = 3

    def start(self):
        self.behind, self.lost = self.system.gateways[:2]
        opened = cut_links.open_links(self.system.folder, [self.behind])
        links = self.stack.enter_context(opened)
        self.system.hosts.update(links)
        self.links = links[self.behind]
        for address in self.system.first:
            self.links.add(address)
        super().start()

    def add(self, identity, version, **options):
        return super().add(identity, VERSIONS[0], **options)

    def setUp(self):
        super().setUp()
        choose_other = self.callers.choose_other
        self.callers.choose_other = lambda name: (
            self.behind if name == self.lost else choose_other(name)
        )

    def join(self, leave, come_back):
        """Let upstreams join between two steps, and streams break before the second.

        Their callers take them up at the gateway that is behind.
        """
        time.sleep(0.5)
        leave()
        for number in range(self.upstreams):
            self.made.append(super().add(f"n{number}", VERSIONS[1]))
        time.sleep(2.5)
        self.system.running[self.lost].kill()
        time.sleep(0.1)
        come_back()

    def check_taken_up_behind(self):
        """Check versions, and that streams were taken up at the gateway behind."""
        self.check_versions()
        self.check_refusals()
        versions = {one for stream in self.callers.streams for one in stream.versions}
        self.assertEqual(versions, set(VERSIONS))
        tries = self.callers.list_takeups()
        self.assertGreater(sum(one.gateway == self.behind for one in tries), 2)

    def test_a_gateway_that_stood_still_goes_on_at_no_other_version(self):
        process = self.system.running[self.behind]
        self.callers.run(
            5.0,
            lambda: self.join(
                lambda: process.send_signal(signal.SIGSTOP),
                lambda: process.send_signal(signal.SIGCONT),
            ),
        )
        self.check_taken_up_behind()

    def test_a_gateway_that_was_cut_off_goes_on_at_no_other_version(self):
        self.callers.run(
            5.0, lambda: self.join(lambda: self.links.cut("hang"), self.links.heal)
        )
        self.check_taken_up_behind()


class RebornTest(VersionsCase):
    upstreams = 4

    def start_as_other(self, old):
        """Start an upstream under the identity and address of another one."""
        other = VERSIONS[1 - VERSIONS.index(old.version)]
        born = int(time.time() * 1000)
        return self.add(
            old.identity, other, port=old.port, born=born, silent_seconds=0.8
        )

    def test_no_stream_goes_on_at_an_upstream_that_started_again_as_another_version(
        self,
    ):
        def crash():
            time.sleep(1.5)
            self.made[2].stop()
            self.start_as_other(self.made[2])
            time.sleep(0.1)
            self.made[0].stop()

        self.callers.run(3.0, crash)
        self.check_versions()
        cut = [one for one in self.callers.streams if one.list_takeups()]
        self.assertGreater(len(cut), 0)

    def test_an_announcement_that_waited_at_a_directory_does_not_prove_another_process(
        self,
    ):
        def crash():
            time.sleep(1.5)
            held = self.system.running[self.system.names[1]]
            held.send_signal(signal.SIGSTOP)
            with self.made[2].announcing(self.ports[1], 1000):
                self.made[2].stop()
            self.start_as_other(self.made[2])
            time.sleep(0.1)
            self.made[0].stop()
            time.sleep(0.4)
            held.send_signal(signal.SIGCONT)

        self.callers.run(3.0, crash)
        self.check_versions()
        cut = [one for one in self.callers.streams if one.list_takeups()]
        self.assertGreater(len(cut), 0)

    def test_a_late_announcement_of_the_former_process_does_not_prove_the_next_one(
        self,
    ):
        def crash():
            time.sleep(1.5)
            self.made[2].stop()
            self.start_as_other(self.made[2])
            time.sleep(0.1)
            self.made[0].stop()
            time.sleep(0.4)
            for port in range(len(self.ports)):
                self.made[2].announce(1000 + port)

        self.callers.run(3.0, crash)
        self.check_versions()
        cut = [one for one in self.callers.streams if one.list_takeups()]
        self.assertGreater(len(cut), 0)


class LastUpstreamTest(VersionsCase):
    upstreams = 3

    def test_streams_of_a_version_that_is_gone_are_refused_and_others_served(self):
        def stop():
            time.sleep(1.5)
            self.made[1].stop()

        self.callers.run(4.0, stop)
        self.check_versions()
        cut = [one for one in self.callers.streams if one.versions == {VERSIONS[1]}]
        tries = [made for one in cut for made in one.list_takeups()]
        self.assertEqual({made.status for made in tries}, {503})
        self.assertEqual(self.compute_share_begun(), 1.0)


class LastUpstreamsTest(VersionsCase):
    upstreams = 2

    def test_streams_of_versions_that_are_gone_are_refused_until_one_serves_again(self):
        def stop():
            time.sleep(1.5)
            for one in self.made:
                one.stop()
            time.sleep(0.5)
            self.made.append(self.add("u8", VERSIONS[0]))

        self.callers.run(4.0, stop)
        self.check_versions()
        self.check_refusals()
        tries = {
            version: [
                made.events > 0
                for one in self.callers.streams
                if one.versions == {version}
                for made in one.list_takeups()
            ]
            for version in VERSIONS
        }
        self.assertGreater(sum(tries[VERSIONS[0]]), 0)
        self.assertGreater(len(tries[VERSIONS[1]]), 0)
        self.assertEqual(sum(tries[VERSIONS[1]]), 0)


class OneVersionTest(VersionsCase):
    def add(self, identity, version, **options):
        return super().add(identity, VERSIONS[0], **options)

    def test_all_streams_go_on_while_there_is_one_version(self):
        self.callers.run(3.0, lambda: self.kill_gateways(*self.system.gateways[:2]))
        self.check_streams(least_taken_up=8)

    def test_callers_who_name_no_first_request_go_on_while_there_is_one_version(self):
        self.callers.names_first = False
        self.callers.run(3.0, lambda: self.kill_gateways(*self.system.gateways[:2]))
        self.check_streams(least_taken_up=8)


class AllRebornTest(VersionsCase):
    """All upstreams start again as the next version, under the same identities."""

    upstreams = 3
    announced_to = 1
    #: For how long streams may be taken up, and the first version has served longer.
    kept_seconds = 7.0

    def setUp(self):
        super().setUp()
        document = versioned_streams.make_document(6, whole_seconds=2.0)
        self.assertEqual(self.system.declare(document), 200)
        time.sleep(self.kept_seconds + 1.0)

    def add(self, identity, version, **options):
        version = VERSIONS["born" in options]
        return super().add(identity, version, **options)

    def replace_all(self):
        """Lose all gateways and the directory that heard of the first version."""
        time.sleep(1.5)
        for name in (*self.system.gateways, self.system.names[0]):
            self.system.running[name].kill()
        self.ports = [self.system.ports[name] for name in self.system.names[1:]]
        for old in self.made:
            old.stop()
            born = int(time.time() * 1000)
            self.add(old.identity, old.version, port=old.port, born=born)
        time.sleep(0.5)
        for name in self.system.gateways:
            self.system.start_gateway(name)

    def test_no_stream_goes_on_at_the_next_version_after_all_gateways_were_lost(self):
        """The directories that are left must not take it for the only one."""
        self.callers.names_first = False
        self.callers.run(4.0, self.replace_all)
        taken_up = [one for one in self.callers.streams if one.list_takeups()]
        self.assertGreater(len(taken_up), 10)
        self.check_versions()
        self.check_refusals()
