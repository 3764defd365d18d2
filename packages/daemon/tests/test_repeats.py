"""Retries: gateways ask for them, and a directory grants them from the budget."""

import contextlib
from unittest import mock

from packages.daemon.tests import gateway_bench as bench, test_directory  # isort: skip

import eventlet

from packages.forwarding.tests import samples
from trestlestall.daemon import placement_protocol, settings
from trestlestall.forwarding import budgets, descriptors
from trestlestall.wire import directory_messages, messages

SERVICE = samples.SERVICE.name


class GrantTest(test_directory.DirectoryCase):
    """One directory of a deployment that was just founded."""

    def setUp(self):
        super().setUp()
        self.server.retry_budget.retries = settings.Retries(0.2, 100.0, 10.0)
        self.turn()
        self.server.registrations.announce(samples.make_row())
        self.token = 0

    def ask(self, purpose):
        """Place a gateway's call; return its answer, or None while it is pending."""
        self.token += 1
        plain = descriptors.encode(samples.make_descriptor(f"r{self.token}"))
        call = directory_messages.PlaceCall(self.token, tuple(plain), (), purpose)
        self.server.scheduler.place("gateway-1", call)
        found = self.links.find(directory_messages.PlaceAnswer, "gateway-1")
        return next((one for one in found if one.token == self.token), None)

    def count(self):
        budget = self.server.retry_budget
        return budget.ledger.count(SERVICE, budget.bound, self.clock.now)

    def test_calls_count_by_their_purpose(self):
        for purpose in (
            placement_protocol.FIRST_SEND,
            placement_protocol.REROUTED,
            placement_protocol.RETRY,
        ):
            self.assertTrue(self.ask(purpose).upstream)
        self.assertEqual(self.count(), (1, 1))

    def test_no_more_retries_than_the_bound_are_granted(self):
        answers = [self.ask(placement_protocol.RETRY) for _ in range(100)]
        granted = [one for one in answers if one.upstream]
        share = budgets.SHARES[budgets.Coverage.COMPLETE]
        self.assertEqual(len(granted), int(share * 100))
        self.assertEqual(answers[-1].reason, budgets.EXHAUSTED)
        lines = self.output.getvalue().count('"repeats_exhausted"')
        self.assertEqual(lines, 1)

    def test_a_retry_that_finds_no_upstream_is_not_counted(self):
        self.server.registrations.announce(
            samples.make_row(sequence=2, state=test_directory.upstreams.State.GONE)
        )
        self.assertFalse(self.ask(placement_protocol.RETRY).upstream)
        self.assertEqual(self.count(), (0, 0))

    def test_a_directory_without_a_quorum_grants_no_slack(self):
        self.server.voter = None
        self.assertEqual(self.ask(placement_protocol.RETRY).reason, budgets.EXHAUSTED)

    @contextlib.contextmanager
    def vote(self):
        """Let two other directories vote, which have answered once.

        Two retries may be granted before they are acknowledged.
        """
        self.server.retry_budget.retries = settings.Retries(0.2, 16.0, 10.0)
        self.links.directories = list(test_directory.OTHERS)
        voters = budgets.Voters(frozenset(test_directory.OTHERS))
        self.server.retry_budget.turn()
        for name in test_directory.OTHERS:
            self.server.retry_budget.send_counts(name)
            self.acknowledge(name)
        with mock.patch.object(
            self.server.retry_budget, "_list_voters", return_value=voters
        ):
            yield

    def acknowledge(self, name, rows=()):
        """Let a directory acknowledge the counts that were last sent to it."""
        told = self.links.find(directory_messages.RetryCounts, name)[-1]
        answer = directory_messages.RetryCountsAnswer(
            name, 1, True, told.source, told.version, told.granted, rows
        )
        self.server.handle_message(name, answer)
        return told

    def list_granted(self):
        """Return the answers that name an upstream."""
        found = self.links.find(directory_messages.PlaceAnswer, "gateway-1")
        return [one for one in found if one.upstream]

    def test_retries_wait_until_others_acknowledge_those_before(self):
        with self.vote():
            answers = [self.ask(placement_protocol.RETRY) for _ in range(4)]
            waiting = [answer for answer in answers if answer is None]
            self.assertEqual(len(waiting), 2)
            self.server.retry_budget.turn()
            self.assertEqual(self.acknowledge(test_directory.OTHERS[0]).granted, 2)
        self.assertEqual(len(self.list_granted()), 4)

    def test_retries_that_an_acknowledgement_tells_of_are_counted(self):
        """Guards against directories that grant the same retries through a third."""
        with self.vote():
            answers = [self.ask(placement_protocol.RETRY) for _ in range(4)]
            self.assertIsNone(answers[-1])
            self.server.retry_budget.turn()
            rows = (("d9", SERVICE, 1, 0.0, 0, 100),)
            self.acknowledge(test_directory.OTHERS[0], rows)
        self.assertEqual(len(self.list_granted()), 2)
        found = self.links.find(directory_messages.PlaceAnswer, "gateway-1")
        self.assertEqual(found[-1].reason, budgets.EXHAUSTED)

    def test_a_pending_call_times_out(self):
        with self.vote():
            answers = [self.ask(placement_protocol.RETRY) for _ in range(3)]
            self.assertIsNone(answers[-1])
            self.server.retry_budget.turn()
            self.clock.now += 0.5
            self.acknowledge(test_directory.OTHERS[0])
        found = self.links.find(directory_messages.PlaceAnswer, "gateway-1")
        self.assertEqual(len(found), 2)

    def test_a_call_whose_gateway_continued_is_never_placed(self):
        scheduler = self.server.scheduler
        with self.vote():
            for _ in range(3):
                self.ask(placement_protocol.RETRY)
            taken = scheduler.count_places(SERVICE)
            note = directory_messages.PlaceNote(
                f"r{self.token}", placement_protocol.INCONCLUSIVE
            )
            scheduler.handle_note("gateway-1", note)
            self.server.retry_budget.turn()
            self.acknowledge(test_directory.OTHERS[0])
        self.assertEqual(scheduler.count_places(SERVICE), taken)

    def test_evaluating_a_pending_call_does_not_extend_its_timeout(self):
        with self.vote():
            for _ in range(3):
                self.ask(placement_protocol.RETRY)
            self.server.retry_budget.turn()
            for _ in range(10):
                self.clock.now += 0.05
                self.server.scheduler.place_pending()
            self.acknowledge(test_directory.OTHERS[0])
        found = self.links.find(directory_messages.PlaceAnswer, "gateway-1")
        self.assertEqual(len(found), 2)

    def test_retries_of_another_directory_are_acknowledged_and_counted(self):
        ledger = budgets.Ledger("d2#1", 0.0)
        ledger.record_first_start()
        bound = self.server.retry_budget.bound
        ledger.consume(SERVICE, bound, budgets.Coverage.COMPLETE, 0.0)
        told = directory_messages.RetryCounts(**vars(ledger.collect_counts("d1", 0.0)))
        for _ in range(2):
            self.server.handle_message("other", told)
        self.assertEqual(self.count(), (0, 1))
        confirmed = self.links.find(directory_messages.RetryCountsAnswer, "other")
        self.assertEqual([one.granted for one in confirmed], [1, 1])
        self.assertTrue(all(one.is_complete for one in confirmed))

    def test_an_earlier_build_is_sent_what_it_understands(self):
        name = test_directory.OTHERS[0]
        with self.vote():
            self.server.handle_message(name, messages.NotUnderstood("retry_counts", 1))
            answers = [self.ask(placement_protocol.RETRY) for _ in range(3)]
            self.assertIsNone(answers[-1])
            self.server.retry_budget.turn()
            told = self.links.find(directory_messages.Spent, name)[-1]
            self.assertEqual(told.granted, 2)
            self.server.handle_message(name, directory_messages.SpentAnswer(2))
        self.assertEqual(len(self.list_granted()), 3)

    def test_retries_of_an_earlier_build_are_acknowledged_and_counted(self):
        told = directory_messages.Spent("d2#1", 0.0, ((SERVICE, 1, 0.0, 0, 1),), 1)
        for _ in range(2):
            self.server.handle_message("other", told)
        self.assertEqual(self.count(), (0, 1))
        confirmed = self.links.find(directory_messages.SpentAnswer, "other")
        self.assertEqual(confirmed, [directory_messages.SpentAnswer(1)] * 2)


class DeniedTest(bench.GatewayCase):
    def deny(self):
        """Exhaust the gateway's retry budget."""
        handler = self.bench.gateway.handler
        none = budgets.Bound(0.0, 0.0, 10.0)
        patched = mock.patch.object(
            handler.placing, "_find_retry_bound", return_value=none
        )
        patched.start()
        self.addCleanup(patched.stop)

    def test_a_request_that_did_not_run_is_refused_as_such(self):
        full = "Trestlestall-Not-Run: 1\r\n"
        made = [
            self.bench.add(name, bench.answer(full, "", status="503 Full"))
            for name in ("u1", "u2")
        ]
        self.deny()
        self.assertEqual(self.bench.ask("/once/x")[0], 503)
        self.assertEqual(sum(len(one.received) for one in made), 1)
        (line,) = self.bench.list_lines("repeat_denied")
        self.assertEqual((line["service"], line["sends"]), ("work", 1))

    def test_a_failed_answer_of_an_upstream_is_passed_on(self):
        made = [
            self.bench.add(name, bench.answer("", "no", status="500 No"))
            for name in ("u1", "u2")
        ]
        self.deny()
        status, _, body = self.bench.ask("/again/x")[:3]
        self.assertEqual((status, body), (500, "no"))
        self.assertEqual(sum(len(one.received) for one in made), 1)

    def ask_slow(self, seconds):
        """Send a request to one of two slow upstreams; return status and body."""
        made = [
            self.bench.add(name, bench.send(f"{bench.OK}\r\nlate", after=seconds))
            for name in ("u1", "u2")
        ]
        self.deny()
        answer = self.bench.ask("/again/x")[::2]
        self.assertEqual(sum(len(one.received) for one in made), 1)
        return answer

    def test_a_silent_upstream_is_not_left_without_a_permitted_retry(self):
        """Guards against a 502 by a gateway that leaves and may not send again."""
        self.assertEqual(self.ask_slow(1.8), (200, "late"))
        lines = self.bench.list_lines("timeout_extended")
        self.assertEqual({line["reason"] for line in lines}, {budgets.EXHAUSTED})

    def test_a_silent_upstream_is_awaited_until_the_deadline(self):
        """Guards against a 502 when too little time is left for another upstream."""
        self.assertEqual(self.ask_slow(2.7), (200, "late"))

    def test_a_silent_stream_is_not_cut_without_a_permitted_retry(self):
        """Guards against a stream cut by a gateway that may not send it again."""

        def script(connection, received):
            connection.sendall(
                f"{bench.STREAM}{bench.frame(bench.event(1), end=False)}".encode()
            )
            eventlet.sleep(1.8)
            connection.sendall(bench.frame(bench.event(2)).encode())

        for name in ("u1", "u2"):
            self.bench.add(name, script)
        self.deny()
        caller = self.bench.call()
        caller.ask("/resume/x")
        whole = caller.read_to_end()
        self.assertIn(bench.event(2), whole)
        self.assertTrue(whole.endswith("0\r\n\r\n"))

    def test_a_silent_upstream_is_left_once_a_retry_is_permitted(self):
        self.bench.add("u1", bench.send("", keep=True, after=5))
        serving = self.bench.add("u2", bench.answer("", "done"))
        with mock.patch.object(
            self.bench.gateway.handler.placing, "_may_retry_alone"
        ) as permitted:
            permitted.side_effect = [False, True]
            while not serving.received or permitted.call_count < 2:
                self.assertEqual(self.bench.ask("/again/x")[::2], (200, "done"))

    def test_an_unreachable_upstream_costs_no_retry(self):
        gone = self.bench.add("u1", bench.answer(""))
        self.bench.add("u2", bench.answer("", "done"))
        gone.stop()
        self.deny()
        for _ in range(3):
            self.assertEqual(self.bench.ask("/once/x")[2], "done")
