"""Quarantine of requests under which upstreams crashed, at a directory."""

import pathlib

import cbor2

from packages.daemon.tests import test_directory
from packages.forwarding.tests import samples
from trestlestall.daemon import environment, logs, placement_protocol
from trestlestall.daemon.directory import quarantine, quarantine_file
from trestlestall.forwarding import crash_reports, crashes, descriptors
from trestlestall.wire import directory_messages

DIGEST = "d1"
OTHER = test_directory.OTHERS[0]


class QuarantineCase(test_directory.DirectoryCase):
    def setUp(self):
        super().setUp()
        self.links.directories = [OTHER]
        for number in range(5):
            row = samples.make_row(f"u{number}")
            self.server.registrations.announce(row)
        self.token = 0

    def report(self, *starts, peer="gateway-1", digest=DIGEST):
        """Deliver reports that these incarnations crashed under the request."""
        for start in starts:
            message = directory_messages.Crashed(((digest, start, 0.0),))
            self.server.handle_message(peer, message)

    def ask(self, purpose=placement_protocol.FIRST_SEND, digest=DIGEST):
        """Deliver a gateway's call; return its answer."""
        self.token += 1
        descriptor = samples.make_descriptor(f"r{self.token}", digest=digest)
        plain = tuple(descriptors.encode(descriptor))
        call = directory_messages.PlaceCall(self.token, plain, (), purpose)
        self.server.handle_message("gateway-1", call)
        return self.links.find(directory_messages.PlaceAnswer, "gateway-1")[-1]

    def note(self, kind):
        """Report the outcome of the request that was placed last."""
        self.server.handle_message(
            "gateway-1", directory_messages.PlaceNote(f"r{self.token}", kind)
        )

    def list_sent(self, name):
        """Return the crashes that were sent to a process."""
        return [
            tuple(end[:2])
            for message in self.links.find(directory_messages.Crashed, name)
            for end in message.ends
        ]


class PlaceTest(QuarantineCase):
    def test_a_request_is_placed_until_three_upstreams_crashed(self):
        self.report("s1", "s2")
        self.assertTrue(self.ask().upstream)
        self.report("s3")
        answer = self.ask()
        self.assertEqual((answer.upstream, answer.reason), ("", crashes.HARMFUL))
        self.assertTrue(self.ask(digest="another").upstream)

    def test_crashes_under_parallel_sends_and_retries_add_up(self):
        self.report("s1")
        self.report("s2", peer="gateway-2")
        self.report("s3", peer=OTHER)
        for purpose in (
            placement_protocol.FIRST_SEND,
            placement_protocol.REROUTED,
            placement_protocol.RETRY,
        ):
            self.assertEqual(self.ask(purpose).reason, crashes.HARMFUL)

    def test_a_complete_answer_ends_the_quarantine(self):
        self.ask()
        self.report("s1", "s2", "s3")
        self.note(placement_protocol.SUCCEEDED)
        self.assertTrue(self.ask().upstream)

    def test_a_brittle_upstream_that_ends_is_no_crash(self):
        for number in range(4):
            stated = ((f"s{number}", 4.0, 0.0),)
            message = directory_messages.BrittleUpstreams(stated=stated)
            self.server.handle_message("gateway-1", message)
        self.report("s0", "s1", "s2", "s3")
        self.assertTrue(self.ask().upstream)

    def test_a_failure_does_not_end_the_quarantine(self):
        self.ask()
        self.report("s1", "s2", "s3")
        self.note(placement_protocol.FAILED)
        self.assertFalse(self.ask().upstream)

    def test_a_request_answered_before_tolerates_more_crashes(self):
        self.ask()
        self.note(placement_protocol.SUCCEEDED)
        self.clock.now += 1.0
        self.report("s1", "s2", "s3")
        self.assertTrue(self.ask().upstream)

    def test_an_upstream_that_answers_a_later_request_has_not_crashed(self):
        chosen = self.ask(digest="another").upstream
        self.report(chosen, "s2", "s3")
        self.note(placement_protocol.SUCCEEDED)
        self.assertFalse(self.ask().upstream, "placed before the end")
        self.clock.now += 1.0
        while self.ask(digest="another").upstream != chosen:
            self.note(placement_protocol.INCONCLUSIVE)
        self.note(placement_protocol.SUCCEEDED)
        self.assertTrue(self.ask().upstream)


class TrialTest(QuarantineCase):
    def test_after_the_quarantine_one_trial_runs_at_a_time(self):
        self.report("s1", "s2", "s3")
        self.clock.now += crashes.FIRST_QUARANTINE_SECONDS + 1.0
        self.assertTrue(self.ask().upstream)
        tried = self.token
        self.assertEqual(self.ask().reason, crashes.HARMFUL)
        note = directory_messages.PlaceNote(
            f"r{tried}", placement_protocol.INCONCLUSIVE
        )
        self.server.handle_message("gateway-1", note)
        self.assertTrue(self.ask().upstream)

    def test_a_failed_trial_is_not_over_before_a_crash_would_be_known(self):
        """A failed trial counts as running until its upstream's crash would be known.

        The first trial after a quarantine failed, but the crash of its upstream was
        detected only a second later, as something still held the address. Meanwhile the
        trial did not count any more, and the next sends crashed three more upstreams.
        """
        self.report("s1", "s2", "s3")
        self.clock.now += crashes.FIRST_QUARANTINE_SECONDS + 1.0
        self.assertTrue(self.ask().upstream)
        self.note(placement_protocol.FAILED)
        for purpose in (placement_protocol.RETRY, placement_protocol.FIRST_SEND):
            self.assertEqual(self.ask(purpose).reason, crashes.HARMFUL)
        self.clock.now += 7.0
        self.assertTrue(self.ask().upstream)

    def test_a_trial_that_crashes_an_upstream_extends_the_quarantine(self):
        self.report("s1", "s2", "s3")
        self.clock.now += crashes.FIRST_QUARANTINE_SECONDS + 1.0
        self.ask()
        self.report("s4")
        self.note(placement_protocol.FAILED)
        self.clock.now += crashes.FIRST_QUARANTINE_SECONDS + 1.0
        self.assertEqual(self.ask().reason, crashes.HARMFUL)


class FileTest(QuarantineCase):
    def restart(self, wall=0.0):
        """Return the record of a directory that restarts with the same folder."""
        log = logs.Log(self.output, environment.Clock(wall=lambda: wall))
        file = quarantine_file.QuarantineFile(self.folder, log, lambda: wall)
        self.clock.now += 1000.0
        return quarantine.Quarantine(
            self.links, log, file, lambda: None, self.clock.monotonic
        ).record

    def test_the_quarantine_survives_a_restart_with_its_ages(self):
        for start in ("s1", "s2", "s3"):
            self.report(start)
            self.clock.now += 2.0
        self.report("s1", digest="beside")
        self.turn(0.05)
        record = self.restart(wall=100.0)
        now = self.clock.now
        self.assertIs(record.evaluate(DIGEST, now), crashes.Verdict.HARMFUL)
        ages = [round(age) for _, age in record.list_crashes(DIGEST, now)]
        self.assertEqual(ages, [106, 104, 102])
        self.assertEqual(record.list_crashes("beside", now), [])

    def test_a_clock_set_back_makes_no_crash_older(self):
        self.report("s1", "s2", "s3")
        self.turn(0.05)
        record = self.restart(wall=-500.0)
        self.assertEqual(record.list_crashes(DIGEST, self.clock.now)[0][1], 0.05)

    def test_a_request_on_trial_is_stored(self):
        self.report("s1", "s2", "s3")
        self.clock.now += 60.0
        self.report("s9", digest="beside")
        self.turn(0.05)
        self.assertEqual(len(self.restart()), 1)

    def test_an_excused_request_is_not_stored(self):
        self.ask()
        self.report("s1", "s2", "s3")
        self.turn(0.05)
        self.note(placement_protocol.SUCCEEDED)
        self.turn(0.05)
        self.assertEqual(len(self.restart()), 0)

    def test_an_unreadable_file_changes_nothing(self):
        path = pathlib.Path(self.folder) / quarantine_file.REQUESTS.name
        for data in (b"", b"\xff", cbor2.dumps([2, 0.0, [], []]), cbor2.dumps([1, 2])):
            path.write_bytes(data)
            self.assertEqual(len(self.restart()), 0)
        self.assertEqual(self.output.getvalue().count('"held_file_refused"'), 4)

    def test_a_folder_that_refuses_writes_is_only_logged(self):
        missing = str(pathlib.Path(self.folder) / "missing")
        log = logs.Log(self.output, environment.Clock())
        file = quarantine_file.QuarantineFile(missing, log, lambda: 0.0)
        file.save(crash_reports.Report(((DIGEST, "s1", 0.0),)))
        self.assertIn('"held_file_refused"', self.output.getvalue())

    def test_a_report_that_could_not_be_stored_is_stored_later(self):
        """Guards against crashes forgotten at a restart after a full disk."""
        folder = pathlib.Path(self.folder) / "later"
        file = quarantine_file.QuarantineFile(
            str(folder), logs.Log(self.output, environment.Clock()), lambda: 0.0
        )
        report = crash_reports.Report(((DIGEST, "s1", 0.0),))
        file.save(report)
        folder.mkdir()
        file.save(report)
        self.assertEqual(file.load().ends, report.ends)


class DistributionTest(QuarantineCase):
    def test_directories_receive_each_crash_and_gateways_the_quarantine(self):
        self.report("s1", "s2")
        self.turn(0.05)
        self.assertEqual(self.list_sent(OTHER), [(DIGEST, "s1"), (DIGEST, "s2")])
        self.assertEqual(self.list_sent("gateway-1"), [])
        self.report("s3")
        self.turn(0.05)
        complete = [(DIGEST, "s1"), (DIGEST, "s2"), (DIGEST, "s3")]
        self.assertEqual(self.list_sent("gateway-1"), complete)
        self.assertEqual(self.output.getvalue().count('"request_found_harmful"'), 1)

    def test_a_known_crash_is_not_sent_again(self):
        self.report("s1")
        self.turn(0.05)
        self.report("s1", peer=OTHER)
        self.turn(0.05)
        self.assertEqual(len(self.list_sent(OTHER)), 1)

    def test_a_newly_linked_process_receives_the_record(self):
        self.report("s1", "s2", "s3")
        self.report("s1", digest="beside")
        self.turn(0.05)
        self.links.sent.clear()
        self.server.handle_link_change("gateway-1", True)
        self.server.handle_link_change(OTHER, True)
        complete = [(DIGEST, "s1"), (DIGEST, "s2"), (DIGEST, "s3")]
        self.assertEqual(self.list_sent("gateway-1"), complete)
        self.assertEqual(self.list_sent(OTHER), [*complete, ("beside", "s1")])

    def test_gateways_receive_excuses(self):
        self.ask()
        self.report("s1", "s2", "s3")
        self.turn(0.05)
        self.note(placement_protocol.SUCCEEDED)
        self.turn(0.05)
        last = self.links.find(directory_messages.Crashed, "gateway-1")[-1]
        self.assertEqual([digest for digest, _ in last.answers], [DIGEST])
        self.assertIn('"request_excused"', self.output.getvalue())

    def test_a_report_on_an_excused_request_is_answered_with_the_excuse(self):
        self.ask()
        self.note(placement_protocol.SUCCEEDED)
        self.clock.now += 5.0
        self.links.sent.clear()
        ends = tuple((DIGEST, f"s{number}", 6.0) for number in range(3))
        self.server.handle_message("gateway-1", directory_messages.Crashed(ends))
        (message,) = self.links.find(directory_messages.Crashed, "gateway-1")
        self.assertEqual(message.answers, ((DIGEST, 5.0),))
        self.assertEqual(len(self.server.quarantine.record), 0)

    def test_invalid_reports_change_nothing(self):
        self.server.handle_message(
            "gateway-1", directory_messages.Crashed((("d", 1, 2),))
        )
        self.assertIn('"crash_report_refused"', self.output.getvalue())
        self.assertEqual(len(self.server.quarantine.record), 0)

    def test_a_call_without_a_digest_is_never_quarantined(self):
        self.report("s1", "s2", "s3")
        self.assertTrue(self.ask(digest="").upstream)
