"""Whole answers for the right caller: silence, crashes, late answers, on real ones."""

import concurrent.futures
import time
import unittest

from tests import relays, test_promise_once as once
from trestlestall.standins import calls, deployment, prompts

# Longer than a connection to an upstream may take to open.
SILENCE_SECONDS = 1.3


def make_plan() -> deployment.Plan:
    """Return one data centre with two engines and a service."""
    return deployment.Plan(
        data_centres=("a",),
        engines=tuple(
            deployment.EnginePlan(name, "a", ("m1", "m2"), once.ENGINE_OPTIONS)
            for name in ("engine-a", "engine-b")
        ),
        services=(deployment.ServicePlan("service-a", "slots"),),
    )


def expect(text: str, tokens: int, model: str = "m1") -> str:
    """Return the only right answer to a user's text."""
    prompt = prompts.make_prompt(model, f"user: {text}")
    return prompts.write_answer(prompt, 0, tokens)


class AnswersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        started = relays.start_network(make_plan(), once.COMMANDS)
        cls.network = cls.enterClassContext(started)
        cls.pool = cls.enterClassContext(concurrent.futures.ThreadPoolExecutor(64))
        cls.callers = cls.network.routers[0].callers

    def tearDown(self):
        self.network.heal()
        for upstream in self.network.upstreams.values():
            upstream.set_fault(kind="none")

    def test_an_answer_that_is_long_in_coming_is_passed_on(self):
        path = "/v1/services/slots/book"
        asks = {
            "service": lambda: calls.call(
                "POST", self.callers, path, {}, once.KEY, idempotency_key="slow"
            ),
            "engine": lambda: calls.ask(
                self.callers, "m2", "slow [length 5]", once.KEY, idempotency_key="slow2"
            ),
        }
        for kind, ask in asks.items():
            with self.subTest(kind):
                for upstream in self.network.upstreams.values():
                    upstream.relay.back.clear()
                waiting = self.pool.submit(ask)
                time.sleep(SILENCE_SECONDS)
                self.network.heal()
                self.assertEqual(waiting.result().status, 200, waiting.result())
