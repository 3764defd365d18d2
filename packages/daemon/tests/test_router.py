"""A request served from end to end by a real router process."""

import unittest

from packages.daemon.tests import router_bench

TEXT = "how is the gearbox [length 12]"


class ServingTest(unittest.TestCase):
    """One router, one engine and one service serve all the tests."""

    @classmethod
    def setUpClass(cls):
        planned = router_bench.plan(engines=1, services=1)
        cls.bench = cls.enterClassContext(router_bench.start_bench(planned))

    def test_a_whole_completion(self):
        answer = self.bench.chat(TEXT)
        self.assertEqual((answer.status, answer.data[:1]), (200, b"{"))
        self.assertEqual(answer.text, router_bench.expect_answer(TEXT, 12))
        self.assertIn("trestlestall-request", answer.headers)

    def test_a_streamed_completion(self):
        answer = self.bench.stream(TEXT)
        self.assertEqual(answer.text, router_bench.expect_answer(TEXT, 12))
        self.assertTrue(answer.whole)

    def test_a_plain_service_that_runs_at_most_once(self):
        answer = self.bench.call_service("/book?day=2", idempotency_key="k1")
        self.assertEqual((answer.status, answer.document["times"]), (200, 1))
        self.assertEqual(answer.document["path"], "/book")
