"""Parts of prompts that are held because upstreams crash on them, at a directory."""

import pathlib

import cbor2

from packages.daemon.tests import test_directory
from packages.forwarding.tests import samples
from trestlestall.daemon import environment, logs, part_messages, placement_protocol
from trestlestall.daemon.directory import (
    part_quarantine,
    quarantine_file,
    request_trials,
)
from trestlestall.forwarding import (
    brittleness,
    descriptors,
    harmful_parts,
    part_evidence,
    suspects,
)
from trestlestall.wire import directory_messages

FATAL = ("fatal", 100)
SOUND = ("sound", 100)
OTHER = test_directory.OTHERS[0]


class PartsCase(test_directory.DirectoryCase):
    def setUp(self):
        super().setUp()
        self.links.directories = [OTHER]
        for number in range(12):
            row = samples.make_row(f"u{number}")
            self.server.registrations.announce(row)
        self.token = 0
        self.clock.now -= 1.0
        self.ask()
        self.clock.now += 1.0

    def ask(self, *parts):
        """Deliver a gateway's call; return its answer."""
        self.token += 1
        own = (f"own{self.token}", 10)
        descriptor = samples.make_descriptor(f"r{self.token}", parts=(*parts, own))
        plain = tuple(descriptors.encode(descriptor))
        purpose = placement_protocol.FIRST_SEND
        call = directory_messages.PlaceCall(self.token, plain, (), purpose)
        self.server.handle_message("gateway-1", call)
        return self.links.find(directory_messages.PlaceAnswer, "gateway-1")[-1]

    def note(self, kind):
        """Report an event, or the end, of the request that was placed last."""
        message = directory_messages.PlaceNote(f"r{self.token}", kind)
        self.server.handle_message("gateway-1", message)

    def crash(self, *starts, parts=(FATAL,), peer="gateway-1"):
        """Deliver reports that incarnations crashed one after the other."""
        for start in starts:
            self.clock.now += 0.5
            own = samples.make_descriptor(parts=(*parts, ("own", 10)))
            presence = suspects.Presence(-0.1, 0.0, frozenset(("w",)))
            rows = tuple(
                part_evidence.encode_end(key, start, presence, 0.0)
                for key in part_evidence.list_keys(own)
            )
            message = directory_messages.PartsCrashed(((start, 0.0),), rows)
            self.server.handle_message(peer, message)

    def list_told(self, name):
        """Return the parts that a process was told to hold."""
        messages = self.links.find(directory_messages.PartsCrashed, name)
        return [parts for message in messages for _, parts in message.held]


class PlaceTest(PartsCase):
    def test_a_part_is_held_and_all_are_told(self):
        self.crash("s1", "s2")
        self.assertTrue(self.ask(FATAL).upstream)
        self.crash("s3")
        self.assertEqual(self.ask(FATAL).reason, harmful_parts.HELD)
        self.assertTrue(self.ask(SOUND).upstream)
        self.turn(0.05)
        for name in (OTHER, "gateway-1"):
            self.assertIn(("fatal",), self.list_told(name))
        self.assertIn('"part_found_harmful"', self.output.getvalue())

    def test_the_last_part_is_never_held(self):
        self.crash("s1", "s2", "s3", parts=(SOUND,))
        self.token += 1
        self.assertTrue(self.ask().upstream)

    def test_requests_with_a_part_in_doubt_are_kept_at_one_upstream(self):
        self.crash("s1", "s2")
        places = {self.ask(FATAL).upstream for _ in range(4)}
        self.assertEqual(len(places), 1)
        self.assertGreater(len({self.ask(SOUND).upstream for _ in range(12)}), 1)

    def test_an_answer_clears_a_part(self):
        self.crash("s1", "s2")
        self.ask(FATAL)
        self.note(placement_protocol.SUCCEEDED)
        self.crash("s3")
        self.assertTrue(self.ask(FATAL).upstream)

    def test_one_trial_runs_at_a_time_after_the_hold(self):
        self.crash("s1", "s2", "s3")
        self.ask(FATAL)
        self.clock.now += harmful_parts.TRIAL_SECONDS[0]
        self.assertTrue(self.ask(FATAL).upstream)
        self.note(placement_protocol.FAILED)
        self.assertEqual(self.ask(FATAL).reason, harmful_parts.TRIED)
        self.clock.now += request_trials.TRIAL_INTERVAL_SECONDS
        self.assertTrue(self.ask(FATAL).upstream)
        tried = self.token
        self.assertEqual(self.ask(FATAL).reason, harmful_parts.TRIED)
        self.token = tried
        self.note(placement_protocol.SUCCEEDED)
        self.token += 10
        self.assertTrue(self.ask(FATAL).upstream)
        self.assertTrue(self.ask(FATAL).upstream)

    def test_a_brittle_upstream_that_rejected_requests_ends_for_that(self):
        for start in ("s1", "s2", "s3"):
            self.server.handle_message(
                "gateway-1",
                directory_messages.BrittleUpstreams(
                    stated=((start, 4.0, 0.0),), rejected=(start,)
                ),
            )
            self.crash(start)
        self.assertTrue(self.ask(FATAL).upstream)

    def test_malformed_reports_change_nothing(self):
        message = directory_messages.PartsCrashed(ends=(("c", "p", "u", 5, 0.0, 0.0),))
        self.server.handle_message("gateway-1", message)
        self.assertIn('"crash_report_refused"', self.output.getvalue())


class RestartTest(PartsCase):
    def restart(self, wall=0.0):
        """Return the quarantine of a directory that restarts with the same folder."""
        log = logs.Log(self.output, environment.Clock(wall=lambda: wall))
        file = quarantine_file.QuarantineFile(
            self.folder, log, lambda: wall, quarantine_file.PARTS
        )
        self.clock.now += 1000.0
        return part_quarantine.PartQuarantine(
            self.links,
            log,
            file,
            brittleness.Brittleness(),
            lambda: None,
            self.clock.monotonic,
        )

    def evaluate(self, restarted, part=FATAL):
        descriptor = samples.make_descriptor(parts=(part, ("own", 10)))
        restarted.record.evidence.record_serving(12, self.clock.now)
        return restarted.evaluate("gateway-1", descriptor).verdict

    def test_a_held_part_survives_the_loss_of_all_power(self):
        self.crash("s1", "s2", "s3")
        self.ask(FATAL)
        self.turn(0.05)
        restarted = self.restart(wall=3.0)
        self.assertIs(self.evaluate(restarted), harmful_parts.Verdict.HARMFUL)

    def test_crashes_under_a_part_in_doubt_survive_the_loss_of_all_power(self):
        self.crash("s1", "s2")
        self.ask(FATAL)
        self.crash("s3", parts=(SOUND,))
        self.turn(0.05)
        restarted = self.restart(wall=3.0)
        self.assertIs(self.evaluate(restarted), harmful_parts.Verdict.DOUBTFUL)

    def test_an_unreadable_file_changes_nothing(self):
        path = pathlib.Path(self.folder) / quarantine_file.PARTS.name
        for data in (b"", b"\xff", cbor2.dumps([2, 0.0, [], []]), cbor2.dumps([1, 2])):
            path.write_bytes(data)
            self.assertEqual(len(self.restart().record), 0)

    def test_a_linked_peer_and_an_answer_that_it_missed(self):
        self.crash("s1", "s2", "s3")
        self.ask(FATAL)
        self.server.handle_link_change(OTHER, True)
        self.assertIn(("fatal",), self.list_told(OTHER))
        self.ask(SOUND)
        self.note(placement_protocol.SUCCEEDED)
        self.clock.now -= 1.0
        self.crash("s4", parts=(SOUND,), peer=OTHER)
        told = self.links.find(directory_messages.PartsCrashed, OTHER)[-1]
        report = part_messages.decode(told)
        self.assertEqual([row[1] for row in report.answers], ["sound"])
