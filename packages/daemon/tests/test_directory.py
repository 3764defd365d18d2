"""One directory in this process: its disk, its table, and its placement of requests."""

import contextlib
import dataclasses
import errno
import io
import random
import tempfile
import unittest
import zlib
from unittest import mock

from trestlestall.daemon import patching  # isort: skip

import eventlet

from packages.forwarding.tests import samples
from trestlestall.daemon import announcements, dialects, environment, logs, settings
from trestlestall.daemon.directory import (
    disks,
    operations,
    registrations,
    server as servers,
    voter_changes,
)
from trestlestall.forwarding import descriptors, feature_flags, upstreams
from trestlestall.storage import files
from trestlestall.wire import directory_messages

__all__ = ["patching"]

OWN = "127.0.0.1:7000"
OTHERS = ("127.0.0.1:7001", "127.0.0.1:7002")


class Links:
    """Fake links to named processes, which record the messages sent."""

    own = OWN

    def __init__(self, directories=(), gateways=()):
        self.directories = list(directories)
        self.gateways = list(gateways)
        self.sent = []

    def add(self, addresses):
        return None

    def send(self, name, message):
        self.sent.append((name, message))
        return name in self.directories or name in self.gateways

    def list_directories(self):
        return self.directories

    def list_gateways(self):
        return self.gateways

    def is_directory(self, name):
        return name in self.directories

    def find_data_centre(self, name):
        return name.partition("-")[0]

    def find(self, kind, name=None):
        return [
            message
            for to, message in self.sent
            if isinstance(message, kind) and name in (None, to)
        ]


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


class DirectoryCase(unittest.TestCase):
    placing = feature_flags.NONE

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.clock = Clock()
        self.links = Links(gateways=["gateway-1"])
        self.output = io.StringIO()
        clock = environment.Clock(self.clock.monotonic, lambda: 0.0)
        env = environment.Environment(None, None, None, clock, random.Random(1))
        log = logs.Log(self.output, clock, "directory-1")
        made = settings.DirectorySettings(
            role="directory",
            name="directory-1",
            data_centre="a",
            listen=None,
            secrets_file="",
            data_folder=self.folder,
            directories=(settings.Address("127.0.0.1", 7000),),
            founding=True,
            placing=self.placing,
        )
        self.server = servers.Server(
            made, env, log, self.links, dialects.NATIVE, lambda: None
        )
        self.disk = self.stack.enter_context(disks.hold(self.folder, self.server, log))

    def turn(self, seconds=1.0):
        for _ in range(int(seconds / 0.05)):
            self.clock.now += 0.05
            self.disk.turn(self.clock.now)

    def call(self, kind, **document):
        replies = []
        self.server.open_call(kind, document, replies.append)
        self.turn(1.5)
        return replies[0]

    def declare(self, version):
        packed = zlib.compress(b"{}")
        found = self.call(operations.Declare.name, version=version, packed=packed)
        return found["status"]


class DiskTest(DirectoryCase):
    def test_a_full_disk_stops_only_acknowledgements(self):
        self.turn()
        self.assertEqual(self.declare(3), 200)
        full = OSError(errno.ENOSPC, "full")
        with mock.patch.object(files.SystemFiles, "write", side_effect=full):
            self.assertEqual(self.declare(4), 503)
            self.assertIsNone(self.server.voter)
            read = self.call(operations.ReadDeclaration.name)
            self.assertEqual(read["status"], 503)
            self.assertTrue(self.server.registrations.announce(samples.make_row()))
            self.assertTrue(self.links.find(directory_messages.Announced, "gateway-1"))
        self.turn(2.0)
        self.assertEqual(self.declare(5), 200)
        read = self.call(operations.ReadDeclaration.name)
        self.assertEqual(read["version"], 5)

    def test_acknowledged_documents_survive_the_loss_and_return_of_the_disk(self):
        self.turn()
        self.assertEqual(self.declare(7), 200)
        self.server.suspend()
        self.disk.close()
        self.disk.open(self.clock.now)
        self.turn()
        read = self.call(operations.ReadDeclaration.name)
        self.assertEqual((read["status"], read["version"]), (200, 7))


def make_start(born):
    """Return a row of one incarnation of the upstream named u1."""
    identity = upstreams.format_identity("u1", born)
    return samples.make_row(identity, name="u1", born=born, address="10.0.0.1:1")


class RegistrationsTest(unittest.TestCase):
    def make(self, directories, voters=3):
        self.links = Links(directories, ["gateway-1"])
        clock = environment.Clock(lambda: 0.0, lambda: 0.0)
        log = logs.Log(io.StringIO(), clock, "x")
        return registrations.Registrations(
            self.links, log, lambda: voters, lambda: None, lambda: 0.0
        )

    def test_an_ordinary_announcement_needs_no_other_directory(self):
        made = self.make([])
        self.assertTrue(made.announce(samples.make_row()))

    def test_late_announcements_of_an_old_incarnation_change_nothing(self):
        made = self.make(OTHERS)
        old, new = (make_start(born) for born in (1000, 2000))
        made.announce(old)
        made.announce(new)
        self.links.sent.clear()
        drains = dataclasses.replace(old, sequence=9, state=upstreams.State.DRAINING)
        for late in (drains, dataclasses.replace(old, sequence=8)):
            self.assertTrue(made.announce(late))
        self.assertEqual(self.links.sent, [])
        self.assertEqual(list(made.table.rows), [new.identity])

    def test_a_drain_notice_ends_the_latest_incarnation(self):
        made = self.make([], voters=1)
        made.announce(make_start(1000))
        made.announce(make_start(2000))
        self.assertTrue(made.announce(upstreams.Row("u1", 0, upstreams.State.GONE)))
        told = self.links.find(directory_messages.Announced, "gateway-1")[-1]
        (row,) = map(upstreams.decode_row, told.rows)
        self.assertEqual((row.born, row.state), (2000, upstreams.State.GONE))

    def test_a_drain_notice_is_acknowledged_once_a_majority_has_it(self):
        made = self.make(OTHERS)
        made.announce(samples.make_row())
        answers = []
        drains = samples.make_row(sequence=2, state=upstreams.State.DRAINING)
        waiting = eventlet.spawn(lambda: answers.append(made.announce(drains)))
        eventlet.sleep(0.05)
        self.assertEqual(answers, [])
        asked = self.links.find(directory_messages.Announced, OTHERS[0])[-1]
        made.handle_answer(OTHERS[0], directory_messages.AnnouncedAnswer(asked.token))
        waiting.wait()
        self.assertEqual(answers, [True])

    def test_a_drain_notice_without_a_majority_is_not_acknowledged(self):
        made = self.make([])
        with mock.patch.object(registrations, "MAJORITY_TIMEOUT_SECONDS", 0.05):
            gone = upstreams.Row("u1", 0, upstreams.State.GONE)
            self.assertFalse(made.announce(gone))
            # A repetition is already in the table, but must not count as acknowledged.
            self.assertFalse(made.announce(gone))

    def check_proposed(self, confirm):
        """Check that a new version is held back until it is confirmed."""
        made = self.make(OTHERS)
        answers = []
        row = samples.make_row(version="v2")
        waiting = eventlet.spawn(lambda: answers.append(made.announce(row)))
        eventlet.sleep(0.05)
        self.assertEqual(self.links.find(directory_messages.Announced, "gateway-1"), [])
        self.assertEqual(answers, [])
        (asked,) = self.links.find(directory_messages.VersionProposed, OTHERS[0])
        confirm(made, asked.token)
        waiting.wait()
        self.assertEqual(answers, [True])
        (told,) = self.links.find(directory_messages.UpstreamVersions, "gateway-1")
        self.assertEqual(told.pairs, (("u1", "v2"),))
        self.assertTrue(made.announce(samples.make_row("u2", version="v2")))

    def test_a_version_that_is_new_serves_once_a_majority_has_heard_of_it(self):
        self.check_proposed(
            lambda made, token: made.handle_answer(
                OTHERS[0], directory_messages.AnnouncedAnswer(token)
            )
        )

    def test_a_directory_of_an_earlier_build_holds_no_new_version_back(self):
        self.check_proposed(
            lambda made, token: made.handle_not_understood(
                OTHERS[0], "version_proposed"
            )
        )

    def test_a_directory_that_links_later_confirms_a_new_version(self):
        """Guards against upstreams that wait when all directories start at once."""
        made = self.make([])
        answers = []
        row = samples.make_row(version="v2")
        waiting = eventlet.spawn(lambda: answers.append(made.announce(row)))
        eventlet.sleep(0.05)
        self.links.directories.append(OTHERS[0])
        made.send_all(OTHERS[0])
        (asked,) = self.links.find(directory_messages.VersionProposed, OTHERS[0])
        made.handle_answer(OTHERS[0], directory_messages.AnnouncedAnswer(asked.token))
        waiting.wait()
        self.assertEqual(answers, [True])

    def test_a_version_that_announces_itself_all_the_while_does_not_become_new(self):
        """Guards against announcements that are refused after a long partition."""
        made = self.make([], voters=1)
        now = 0.0
        made._clock = lambda: now
        for now in range(0, 2000, 100):
            made.announce(samples.make_row(sequence=now + 1, version="v1"))
        made.announce(samples.make_row("u2", service="other", version="v9"))
        self.assertFalse(made.history.is_new(samples.make_row(version="v1")))
        made._count_voters = lambda: 3
        self.assertTrue(made.announce(samples.make_row(sequence=9999, version="v1")))

    def test_a_version_that_is_new_does_not_serve_without_a_majority(self):
        made = self.make([])
        with mock.patch.object(registrations, "MAJORITY_TIMEOUT_SECONDS", 0.05):
            self.assertFalse(made.announce(samples.make_row(version="v2")))
        self.assertEqual(made.table.rows, {})

    def test_rows_from_another_directory_are_forwarded_and_confirmed(self):
        made = self.make(OTHERS)
        made.handle_announced(OTHERS[0], announcements.encode([samples.make_row()], 9))
        self.assertEqual(
            len(self.links.find(directory_messages.Announced, "gateway-1")), 1
        )
        self.assertEqual(
            self.links.find(directory_messages.AnnouncedAnswer, OTHERS[0])[0].token, 9
        )


class VoterChangesTest(unittest.TestCase):
    NOW = 100.0

    def find(self, voters, **sights):
        """Return the change for observations given as name=(voter, linked, age)."""
        known = {
            name: voter_changes.Observation(voter, linked, self.NOW - ago)
            for name, (voter, linked, ago) in sights.items()
        }
        return voter_changes.find_change("a#1", voters, known, self.NOW)

    def test_no_change_while_all_voters_are_linked(self):
        seen = {"b": ("b#1", True, 9), "c": ("c#1", True, 9)}
        self.assertIsNone(self.find(("a#1", "b#1", "c#1"), **seen))

    def test_a_new_directory_is_added_once_its_link_lasts(self):
        self.assertIsNone(self.find(("a#1",), b=("b#1", True, 0.1)))
        self.assertEqual(self.find(("a#1",), b=("b#1", True, 1)).add, "b#1")

    def test_a_voter_with_a_replaced_disk_is_removed_before_the_new_one_joins(self):
        seen = {"b": ("b#2", True, 9), "c": ("c#1", True, 9)}
        self.assertEqual(self.find(("a#1", "b#1", "c#1"), **seen).remove, "b#1")
        self.assertEqual(self.find(("a#1", "c#1"), **seen).add, "b#2")

    def test_an_unresponsive_voter_is_replaced_by_a_waiting_directory(self):
        seen = {"b": ("b#1", True, 9), "c": ("c#1", False, 3), "d": ("d#1", True, 9)}
        self.assertEqual(self.find(("a#1", "b#1", "c#1"), **seen).remove, "c#1")
        seen["c"] = ("c#1", False, 1)
        self.assertEqual(self.find(("a#1", "b#1", "c#1"), **seen).add, "d#1")

    def test_an_unresponsive_voter_is_removed_of_an_even_number_only(self):
        seen = {"b": ("b#1", True, 9), "c": ("c#1", True, 9), "d": ("d#1", False, 5)}
        four = ("a#1", "b#1", "c#1", "d#1")
        self.assertEqual(self.find(four, **seen).remove, "d#1")
        seen["c"] = ("c#1", False, 50)
        del seen["d"]
        self.assertIsNone(self.find(four[:3], **seen))

    def test_no_change_without_a_linked_majority_afterwards(self):
        seen = {"b": ("b#1", False, 9), "c": ("c#1", False, 8), "d": ("d#1", True, 9)}
        self.assertIsNone(self.find(("a#1", "b#1", "c#1"), **seen))
        seen["c"] = ("c#1", True, 8)
        self.assertEqual(self.find(("a#1", "b#1", "c#1"), **seen).remove, "b#1")

    def test_two_unresponsive_voters_of_an_odd_number_are_removed_eventually(self):
        seen = {name: (f"{name}#1", True, 99) for name in "bcde"}
        seen |= {"f": ("f#1", False, 50), "g": ("g#1", False, 11)}
        seven = tuple(f"{name}#1" for name in "abcdefg")
        self.assertIsNone(self.find(seven, **seen))
        seen["g"] = ("g#1", False, 13)
        self.assertEqual(self.find(seven, **seen).remove, "f#1")
        six = tuple(name for name in seven if name != "f#1")
        self.assertEqual(self.find(six, **seen).remove, "g#1")

    def test_each_majority_of_directories_contains_a_majority_of_voters(self):
        """Of n directories all vote or, with n even, all but an unresponsive one."""
        for count in range(2, 12):
            left = count - 1 if count % 2 == 0 else count
            majority = count // 2 + 1
            lost = count - left
            self.assertGreaterEqual(majority - lost, left // 2 + 1)


class SchedulerTest(DirectoryCase):
    def setUp(self):
        super().setUp()
        self.scheduler = self.server.scheduler
        rows = [samples.make_row(identity) for identity in ("u1", "u2")]
        self.scheduler.set_rows(rows)

    def place(self, token, request, gateway="gateway-1", tried=()):
        plain = descriptors.encode(samples.make_descriptor(request))
        call = directory_messages.PlaceCall(token, tuple(plain), tried)
        self.scheduler.place(gateway, call)
        return self.links.find(directory_messages.PlaceAnswer, gateway)[-1]

    def test_requests_of_all_gateways_are_counted(self):
        self.links.gateways.append("gateway-2")
        first = self.place(1, "r1")
        second = self.place(2, "r2", "gateway-2")
        self.assertNotEqual(first.upstream, second.upstream)

    def test_choices_are_counted_by_their_outcome(self):
        self.place(1, "r1")
        self.place(2, "r2", tried=("u1", "u2"))
        shown = self.server.metrics.render().decode()
        self.assertIn('trestlestall_choices_total{outcome="placed"} 1.0', shown)
        self.assertIn('trestlestall_choices_total{outcome="no upstream"} 1.0', shown)

    def test_a_request_with_no_upstream_left_gets_a_reason(self):
        answer = self.place(1, "r1", tried=("u1", "u2"))
        self.assertEqual((answer.token, answer.upstream), (1, ""))
        self.assertTrue(answer.reason)

    def test_an_unlinked_gateway_occupies_no_slots(self):
        for number in range(6):
            self.place(number, f"r{number}")
        self.server.handle_link_change("gateway-1", False)
        self.assertEqual(self.scheduler.count_places("engines")[0], 0)

    def test_a_new_scheduler_adopts_running_requests(self):
        plain = descriptors.encode(samples.make_descriptor("r1"))
        state = directory_messages.PlaceState(
            ((plain, "u1", False), (plain, "u9", False))
        )
        self.server.handle_message("gateway-1", state)
        self.assertEqual(self.scheduler.count_places("engines")[0], 1)
        self.assertEqual(self.place(1, "r2").upstream, "u2")
        note = directory_messages.PlaceNote("r1", "succeeded")
        self.server.handle_message("gateway-1", note)
        self.assertEqual(self.scheduler.count_places("engines")[0], 1)
