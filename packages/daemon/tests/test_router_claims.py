"""At most once: retries, router crashes and unresponsive control, on real processes."""

import concurrent.futures
import functools
import signal
import unittest

from packages.daemon.tests import router_bench
from trestlestall.standins import calls, deployment, processes


class ClaimsTest(unittest.TestCase):
    def setUp(self):
        planned = router_bench.plan(engines=1, services=1, routers=2)
        self.bench = self.enterContext(router_bench.start_bench(planned))
        self.service = self.bench.deployment.services[0]

    def call(self, key: str, router: int = 0, path: str = "/book"):
        return self.bench.call_service(path, router, idempotency_key=key)

    def count(self, key: str) -> int:
        """Return how often the service did the work of a key."""
        return self.bench.read_counts(self.service)["keys"].get(f"basu/{key}", 0)

    def wait_for_work(self, key: str) -> None:
        processes.wait_until(lambda: self.count(key) == 1, f"the work of {key} is done")

    def wait_until_idle(self) -> None:
        processes.wait_until(
            lambda: not self.bench.read_rows("show requests"), "the request is over"
        )

    def check(self, answer, status: int, code: str, run: str) -> None:
        found = (answer.status, answer.error_code, answer.run)
        self.assertEqual(found, (status, code, run))

    def test_a_retry_gets_the_first_answer_at_any_router(self):
        first = self.call("k1")
        for router in (0, 1, 0):
            again = router_bench.retry_until_recorded(
                functools.partial(self.call, "k1", router)
            )
            self.assertEqual((again.status, again.data), (200, first.data))
            self.assertEqual(again.headers["idempotent-replayed"], "true")
        self.check(self.call("k1", 1, "/other"), 422, "key_reused", "not_run")
        self.check(self.call(""), 400, "idempotency_key_missing", "not_run")
        self.assertEqual(self.count("k1"), 1)

    def test_a_streamed_answer_is_replayed_completely(self):
        text = "alert the dealer [length 9]"
        streams = [
            router_bench.retry_until_recorded(
                functools.partial(
                    self.bench.stream, text, router, model="m2", idempotency_key="k2"
                )
            )
            for router in (0, 1)
        ]
        expected = router_bench.expect_answer(text, 9, "m2")
        found = [(each.text, each.whole) for each in streams]
        self.assertEqual(found, [(expected, True)] * 2)
        engine = self.bench.deployment.engines[0]
        self.assertEqual(self.bench.read_counts(engine)["requests"], 1)

    def test_concurrent_requests_with_one_key_run_once(self):
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            routers = [number % 2 for number in range(16)]
            answers = list(pool.map(lambda router: self.call("k3", router), routers))
        self.assertEqual(self.count("k3"), 1)
        found = {(answer.status, answer.run) for answer in answers}
        self.assertLessEqual(found, {(200, ""), (409, "outcome_unknown")})
        self.assertIn((200, ""), found)

    def test_a_broken_answer_is_unknown_and_never_sent_again(self):
        self.bench.set_fault(self.service, kind="drop")
        self.check(self.call("k4"), 502, "outcome_unknown", "outcome_unknown")
        self.bench.set_fault(self.service, kind="none")
        for router in (0, 1):
            answer = self.call("k4", router)
            self.check(answer, 409, "request_in_progress", "outcome_unknown")
        self.assertEqual(self.count("k4"), 1)

    def test_a_killed_routers_request_is_not_run_again_elsewhere(self):
        self.bench.set_fault(self.service, kind="stall")
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            lost = pool.submit(self.call, "k5")
            self.wait_for_work("k5")
            self.bench.routers[0].process.kill()
            self.assertEqual(lost.result().status, 0)
        self.bench.set_fault(self.service, kind="none")
        answer = self.call("k5", 1)
        self.check(answer, 409, "request_in_progress", "outcome_unknown")
        again = self.bench.deployment.restart(self.bench.routers[0])
        processes.wait_until(lambda: deployment.is_ready(again), "it is ready again")
        self.bench.wait_for_upstreams(2)
        self.check(self.call("k5"), 409, "request_in_progress", "outcome_unknown")
        self.assertEqual(self.count("k5"), 1)

    def test_a_caller_who_is_gone_finds_the_answer_by_a_resend(self):
        # Regression: a request was listed as over before its answer was recorded.
        self.bench.set_fault(self.service, kind="stall")
        with self.bench.start_service_call("/book", "k6"):
            self.wait_for_work("k6")
        self.bench.set_fault(self.service, kind="none")
        self.wait_until_idle()
        answer = self.call("k6", 1)
        self.assertEqual((answer.status, answer.document["times"]), (200, 1))
        self.assertEqual(self.count("k6"), 1)

    def test_a_request_is_shown_until_its_answer_is_on_record(self):
        self.bench.set_fault(self.service, kind="stall")
        with self.bench.start_service_call("/book", "k9"):
            self.wait_for_work("k9")
        self.bench.control.send_signal(signal.SIGSTOP)
        self.bench.set_fault(self.service, kind="none")
        processes.wait_until(self.has_completed, "the service has answered")
        self.assertEqual(len(self.bench.read_rows("show requests")), 1)
        self.bench.control.send_signal(signal.SIGCONT)
        self.wait_until_idle()
        self.assertEqual(self.call("k9", 1).status, 200)

    def has_completed(self) -> bool:
        """Return whether an attempt of the first router has completed."""
        where = self.bench.routers[0].platform
        text = calls.call("GET", where, "/metrics").data.decode()
        return 'attempts_total{outcome="completed"} 1.0' in text

    def test_without_control_nothing_runs_and_the_key_stays_free(self):
        self.bench.control.send_signal(signal.SIGSTOP)
        self.check(self.call("k7"), 503, "claim_unavailable", "not_run")
        self.check(self.call("k7", 1), 503, "claim_unavailable", "not_run")
        answer = self.bench.chat("the idempotent go on [length 3]")
        self.assertEqual(answer.status, 200)
        self.bench.control.send_signal(signal.SIGCONT)
        processes.wait_until(lambda: self.call("k7").status == 200, "the key is free")
        self.assertEqual(self.count("k7"), 1)

    def test_a_request_that_no_upstream_accepted_may_be_retried(self):
        self.service.process.kill()
        answer = self.call("k8")
        self.assertEqual((answer.status, answer.run), (503, "not_run"))
        self.assertIn("retry-after", answer.headers)
        events = [line["name"] for line in self.bench.read_events()]
        self.assertIn("claim_granted", events)
        started = self.bench.deployment
        planned = started.plan.services[0]
        router_bench.restart_service(started, planned)
        processes.wait_until(lambda: self.call("k8").status == 200, "it runs at last")
