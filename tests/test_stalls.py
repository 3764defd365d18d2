"""A process that was held up does not blame its peers, nor do callers pay for it.

Real processes are stopped and resumed at given moments: to the others that is the same
as a process without processor time.
"""

import concurrent.futures
import contextlib
import signal
import time
import unittest
from collections import abc

from tests import relays, test_promise_answers as answers, test_promise_once as once
from trestlestall.standins import calls, deployment, processes

# Longer than the timeout of control's answer and than the policy's.
STOP_SECONDS = 1.2
# From a request's arrival until the router has sent its claim.
CLAIM_DELAY_SECONDS = 0.05


@contextlib.contextmanager
def stop(daemon: deployment.Daemon) -> abc.Iterator[None]:
    """Stop a process, and resume it after the block."""
    daemon.process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        daemon.process.send_signal(signal.SIGCONT)


class ClaimsTest(unittest.TestCase):
    """Requests that may run once, while a router or the leader is held up."""

    def setUp(self):
        started = relays.start_network(once.make_plan(), once.COMMANDS)
        self.network = self.enterContext(started)
        self.work = once.Work(self.network, "service")
        self.pool = self.enterContext(concurrent.futures.ThreadPoolExecutor(16))
        for data_centre in once.DATA_CENTRES:
            # Each router knows the leader then.
            self.assertEqual(self.ask(f"first-{data_centre}", data_centre).status, 200)

    def ask(self, key: str, data_centre: str):
        return self.work.ask(key, data_centre)

    def has_arrived(self, router: str, key: str) -> bool:
        lines = self.network.read_events(router)
        return any(line.get("key") == key for line in lines)

    def claim_unanswered(self, key: str):
        """Send a request whose claim gets no answer; return answer and its links."""
        links = self.network.find_links(lambda dialler, _: dialler == "router-a1")
        for link in links:
            link.return_gate.clear()
        asked = self.pool.submit(self.ask, key, "a")
        processes.wait_until(
            lambda: self.has_arrived("router-a1", key), "the request has arrived"
        )
        time.sleep(CLAIM_DELAY_SECONDS)
        return asked, links

    def test_a_router_uses_the_grant_that_came_while_it_was_stopped(self):
        # Regression: on waking it ran its overdue timer before it read the grant.
        asked, links = self.claim_unanswered("held")
        with stop(self.network.find("router-a1")):
            for link in links:
                link.return_gate.set()
            time.sleep(STOP_SECONDS)
        self.assertEqual(asked.result().status, 200, asked.result())
        self.assertEqual(self.work.count("held"), 1)

    def test_a_claim_without_an_answer_is_refused_by_its_own_code(self):
        # Regression: after a stop the caller was told another code than the log.
        asked, _ = self.claim_unanswered("lost")
        with stop(self.network.find("router-a1")):
            time.sleep(STOP_SECONDS)
        answer = asked.result()
        found = (answer.status, answer.error_code, answer.run)
        self.assertEqual(found, (503, "claim_unavailable", "not_run"))
        lines = self.network.read_events("router-a1")
        codes = [one["reason"] for one in lines if one["name"] == "claim_refused"]
        self.assertEqual(codes, [answer.error_code])

    def test_requests_outlast_a_leader_that_is_held_up(self):
        # Regression: each request was refused after half a second of 60.
        leader = self.network.find(self.network.find_leader())
        with stop(leader):
            asked = [
                self.pool.submit(self.ask, f"paused-{each}", each)
                for each in once.DATA_CENTRES
            ]
            time.sleep(STOP_SECONDS)
        self.check_each_ran_once(asked, "paused")

    def test_requests_outlast_the_end_of_the_leader(self):
        leader = self.network.find(self.network.find_leader())
        leader.process.kill()
        asked = [
            self.pool.submit(self.ask, f"killed-{each}", each)
            for each in once.DATA_CENTRES
        ]
        self.check_each_ran_once(asked, "killed")

    def check_each_ran_once(self, asked: list, name: str) -> None:
        statuses = [each.result().status for each in asked]
        unknown = [
            line
            for router in self.network.routers
            for line in self.network.read_events(router.name)
            if line["name"] == "claim_unknown"
        ]
        self.assertEqual(statuses, [200] * len(asked), unknown)
        counts = [self.work.count(f"{name}-{each}") for each in once.DATA_CENTRES]
        self.assertEqual(counts, [1] * len(asked))


class AnswersTest(answers.AnswersCase):
    """Requests that may run again, while their router is held up."""

    def test_a_router_that_was_stopped_does_not_take_a_good_engine_for_stalled(self):
        # Regression: all requests then went to an engine that breaks each of them.
        good = self.network.upstreams["engine-b"]
        self.network.upstreams["engine-a"].set_fault(kind="drop")
        for number in range(3):
            texts = [f"held {number} {one} [length 5]" for one in range(8)]
            good.relay.return_gate.clear()
            before = good.count()["requests"]
            asked = [
                self.pool.submit(calls.ask, self.callers, "m1", text, once.KEY)
                for text in texts
            ]
            processes.wait_until(
                lambda least=before + 8: good.count()["requests"] >= least,
                "all run at the good engine",
            )
            with stop(self.network.routers[0]):
                good.relay.return_gate.set()
                time.sleep(STOP_SECONDS)
            self.ask_all(8)
            self.assertEqual([one.result().status for one in asked], [200] * 8)


if __name__ == "__main__":
    unittest.main()
