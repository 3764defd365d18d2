"""At-most-once execution of client retries during partitions, kills and freezes.

Three data centres, each with a control voter, a router, a plain service and an engine
as real processes. Runs are counted by the services and engines alone.
"""

import concurrent.futures
import dataclasses
import functools
import random
import signal
import time
import unittest
from collections import abc

from tests import relays
from trestlestall.standins import calls, deployment, processes, prompts

KEY = "secret-basu"
DATA_CENTRES = ("a", "b", "c")
ENGINE_OPTIONS = (("token_interval", "0.003"), ("interval_growth", "0"))
COMMANDS = (
    "declare class urgent tier 0 target 30s idempotent floor 5%",
    "declare class alerts tier 1 target 60s at most once floor 5%",
    f'declare workspace basu key "{KEY}"',
    "declare service slots",
    "bind workspace basu model m1 to urgent",
    "bind workspace basu model m2 to alerts",
    "bind workspace basu service slots to alerts",
)
TOKENS = 5
SEED = 11
STORM_KEYS = 24
RESENDS = 6
ROUNDS = 2
TRIES = 10
# Delay for the router to write the rest of a request after its first bytes.
SEND_DELAY_SECONDS = 0.1
RESOLVED_STATUSES = (200, 409)


def make_plan(routers: int = 1) -> deployment.Plan:
    """Return three data centres, each with a service and an engine."""
    return deployment.Plan(
        data_centres=DATA_CENTRES,
        controls=3,
        routers_per_data_centre=routers,
        engines=tuple(
            deployment.EnginePlan(f"engine-{each}", each, ("m1", "m2"), ENGINE_OPTIONS)
            for each in DATA_CENTRES
        ),
        services=tuple(
            deployment.ServicePlan(f"service-{each}", "slots", each)
            for each in DATA_CENTRES
        ),
    )


@dataclasses.dataclass
class Work:
    """A kind of at-most-once work: how to request it and to count its runs."""

    network: relays.Network
    kind: str

    def ask(self, key: str, data_centre: str) -> calls.Answer:
        """Request the work of a key at a data centre's router."""
        where = self.network.find(f"router-{data_centre}1").callers
        if self.kind == "service":
            path = "/v1/services/slots/book"
            return calls.call("POST", where, path, {}, KEY, idempotency_key=key)
        text = self.write_prompt(key)
        return calls.ask(where, "m2", text, KEY, idempotency_key=key)

    def count(self, key: str) -> int:
        """Return how often the work of a key ran in all data centres."""
        return sum(self.count_in(each, key) for each in DATA_CENTRES)

    def count_in(self, data_centre: str, key: str) -> int:
        """Return how often the work of a key ran in a data centre."""
        counts = self.find_upstream(data_centre).count()
        if self.kind == "service":
            return counts["keys"].get(f"basu/{key}", 0)
        prompt = prompts.make_prompt("m2", f"user: {self.write_prompt(key)}")
        return counts["prompts"].get(prompt.identity, 0)

    def find_upstream(self, data_centre: str) -> relays.Upstream:
        """Return the data centre's upstream for this kind of work."""
        return self.network.upstreams[f"{self.kind}-{data_centre}"]

    def write_prompt(self, key: str) -> str:
        """Return the prompt text that identifies a key at an engine."""
        return f"alert the dealer of {key} [length {TOKENS}]"


def for_each_work(check: abc.Callable) -> abc.Callable:
    """Return a test that runs the check for each kind of work with its own key."""

    @functools.wraps(check)
    def run(self: "OnceTest") -> None:
        for work in self.works:
            with self.subTest(work.kind):
                try:
                    check(self, work, f"{check.__name__}-{work.kind}")
                finally:
                    self.restore()

    return run


def restore(network: relays.Network) -> None:
    """Undo all faults that a test has left in a network."""
    network.heal()
    for daemon in network.controls + network.routers:
        daemon.process.send_signal(signal.SIGCONT)
        if not daemon.process.running:
            network.deployment.restart(daemon)
    network.wait_until_in_force()


class OnceTest(unittest.TestCase):
    """Each test undoes the faults that it injects."""

    @classmethod
    def setUpClass(cls):
        started = relays.start_network(make_plan(), COMMANDS)
        cls.network = cls.enterClassContext(started)
        cls.works = [Work(cls.network, kind) for kind in ("service", "engine")]
        cls.pool = cls.enterClassContext(concurrent.futures.ThreadPoolExecutor(32))

    def restore(self) -> None:
        restore(self.network)

    def ask_until_resolved(
        self, work: Work, key: str, data_centre: str
    ) -> calls.Answer:
        """Retry until control knows the key's outcome; check refusals before that."""
        answers = []

        def ask() -> bool:
            answers.append(work.ask(key, data_centre))
            if answers[-1].status not in RESOLVED_STATUSES:
                self.check(answers[-1], 503, "claim_unavailable", "not_run")
            return answers[-1].status in RESOLVED_STATUSES

        processes.wait_until(ask, f"{key} is resolved at {data_centre}")
        return answers[-1]

    def wait_for_record(self, work: Work, key: str, data_centre: str) -> None:
        """Wait until the first answer is recorded, a few ms after it was sent."""
        processes.wait_until(
            lambda: self.ask_until_resolved(work, key, data_centre).status == 200,
            f"the answer to {key} is recorded",
        )

    def check(self, answer: calls.Answer, status: int, code: str, run: str) -> None:
        found = (answer.status, answer.error_code, answer.run)
        self.assertEqual(found, (status, code, run))

    def check_unknown(self, answer: calls.Answer) -> None:
        self.check(answer, 409, "request_in_progress", "outcome_unknown")

    def check_replay(self, answer: calls.Answer, first: calls.Answer) -> None:
        self.assertEqual((answer.status, answer.data), (200, first.data))
        self.assertEqual(answer.headers.get("idempotent-replayed"), "true")

    def check_known(self, answer: calls.Answer, first: calls.Answer) -> None:
        """Check an answer given before the first one was necessarily recorded."""
        if answer.status == 200:
            self.assertEqual(answer.data, first.data)
        else:
            self.check_unknown(answer)

    def hold(self, work: Work, key: str, data_centre: str):
        """Send a request, and return its future answer once its relay holds the bytes.

        The request is claimed and sent, but has not reached its upstream, so the router
        cannot know whether it runs.
        """
        relay = work.find_upstream(data_centre).relay
        relay.freeze()
        before = relay.accepted
        lost = self.pool.submit(work.ask, key, data_centre)
        processes.wait_until(lambda: relay.accepted > before, f"{key} is sent")
        time.sleep(SEND_DELAY_SECONDS)
        return lost, relay

    @for_each_work
    def test_resends_at_once_and_afterwards_get_the_first_answer(
        self, work: Work, key: str
    ) -> None:
        asked = [self.pool.submit(work.ask, key, each) for each in DATA_CENTRES * 2]
        answers = [each.result() for each in asked]
        first = next(each for each in answers if each.status == 200)
        for answer in answers:
            self.check_known(answer, first)
        for data_centre in DATA_CENTRES:
            self.wait_for_record(work, key, data_centre)
            self.check_replay(work.ask(key, data_centre), first)
        self.assertEqual(work.count(key), 1)

    @for_each_work
    def test_a_side_that_is_cut_off_runs_nothing(self, work: Work, key: str) -> None:
        self.check_minority(work, key, self.network.cut_data_centre)

    @for_each_work
    def test_a_side_that_is_silent_runs_nothing(self, work: Work, key: str) -> None:
        self.check_minority(work, key, self.network.freeze_data_centre)

    def check_minority(
        self, work: Work, key: str, cut: abc.Callable[[str], None]
    ) -> None:
        cut("c")
        self.check(work.ask(key, "c"), 503, "claim_unavailable", "not_run")
        first = self.ask_until_resolved(work, key, "a")
        self.assertEqual(first.status, 200)
        self.check(work.ask(key, "c"), 503, "claim_unavailable", "not_run")
        self.network.heal()
        self.wait_for_record(work, key, "c")
        again = work.ask(key, "c")
        self.check_replay(again, first)
        counts = [work.count_in(each, key) for each in DATA_CENTRES]
        self.assertEqual(counts, [1, 0, 0])

    @for_each_work
    def test_work_that_a_cut_overtakes_is_not_run_again(
        self, work: Work, key: str
    ) -> None:
        lost, relay = self.hold(work, key, "c")
        self.network.freeze_data_centre("c")
        self.check_unknown(self.ask_until_resolved(work, key, "a"))
        relay.thaw()
        first = lost.result()
        self.assertEqual(first.status, 200)
        self.check_unknown(self.ask_until_resolved(work, key, "b"))
        self.network.heal()
        processes.wait_until(lambda: work.ask(key, "b").status == 200, "it is recorded")
        self.check_replay(work.ask(key, "a"), first)
        self.assertEqual(work.count(key), 1)

    @for_each_work
    def test_a_killed_routers_work_is_not_run_again(self, work: Work, key: str) -> None:
        lost, relay = self.hold(work, key, "a")
        self.network.find("router-a1").process.kill()
        self.assertEqual(lost.result().status, 0)
        for data_centre in ("b", "c"):
            self.check_unknown(work.ask(key, data_centre))
        relay.thaw()
        processes.wait_until(lambda: work.count(key) == 1, "the late bytes run")
        self.restore()
        for data_centre in DATA_CENTRES:
            self.check_unknown(work.ask(key, data_centre))
        self.assertEqual(work.count(key), 1)

    @for_each_work
    def test_a_router_frozen_between_claim_and_send(self, work: Work, key: str) -> None:
        """The grant waits in the socket of the stopped router, which then resumes."""
        router = self.network.find("router-a1")
        key, frozen, links = self.stop_before_grant(work, key)
        for link in links:
            link.thaw()
        self.check_unknown(work.ask(key, "c"))
        self.assertEqual(work.count(key), 0)
        router.process.send_signal(signal.SIGCONT)
        first = frozen.result()
        if first.status != 200:
            self.check(first, 503, "claim_unavailable", "not_run")
        processes.wait_until(
            lambda: work.ask(key, "b").status == 200, "it runs at last"
        )
        self.assertEqual(work.count(key), 1)

    def stop_before_grant(self, work: Work, key: str):
        """Stop router a while its grant is held; return key, answer, links.

        A router that was stopped too late has timed out and released the key, so that a
        retry may run: another key is tried then.
        """
        router = self.network.find("router-a1").process
        for number in range(TRIES):
            tried, frozen, links = self.hold_grant(work, f"{key}-{number}")
            router.send_signal(signal.SIGSTOP)
            if not self.has_timed_out("router-a1", tried):
                return tried, frozen, links
            router.send_signal(signal.SIGCONT)
            self.network.heal()
            self.check(frozen.result(), 503, "claim_unavailable", "not_run")
        raise AssertionError(f"router-a1 was stopped too late {TRIES} times")

    def has_timed_out(self, router: str, key: str) -> bool:
        """Return whether the router has refused the key for lack of an answer."""
        lines = self.network.read_events(router)
        return any(
            line["name"] == "claim_unknown" and line["key"] == key for line in lines
        )

    def hold_grant(self, work: Work, key: str):
        """Send a request at a while grants can't reach it; return key, answer, links.

        A retry at b shows that the grant was made, as it gets a 409. If b is first, its
        retry runs, and another key is tried.
        """
        links = self.network.find_links(lambda dialler, _: dialler == "router-a1")
        for number in range(TRIES):
            tried = f"{key}-{number}"
            self.ask_until_resolved(work, f"{tried}-first", "a")  # a knows the leader
            for link in links:
                link.return_gate.clear()
            frozen = self.pool.submit(work.ask, tried, "a")
            self.wait_for_arrival("router-a1", tried)
            probe = work.ask(tried, "b")
            if probe.status == 409:
                self.check_unknown(probe)
                return tried, frozen, links
            self.network.heal()
            self.check_known(frozen.result(), probe)
            self.assertEqual(work.count(tried), 1)
        raise AssertionError(f"b was first {TRIES} times")

    def wait_for_arrival(self, router: str, key: str) -> None:
        def has_arrived() -> bool:
            lines = self.network.read_events(router)
            return any(line.get("key") == key for line in lines)

        processes.wait_until(has_arrived, f"{key} has arrived at {router}")

    @for_each_work
    def test_a_killed_control_leader(self, work: Work, key: str) -> None:
        lost, relay = self.hold(work, key, "b")
        leader = self.network.find(self.network.find_leader())
        leader.process.kill()
        self.check_unknown(self.ask_until_resolved(work, key, "a"))
        relay.thaw()
        first = lost.result()
        self.assertEqual(first.status, 200)
        processes.wait_until(lambda: work.ask(key, "c").status == 200, "it is recorded")
        self.check_replay(work.ask(key, "a"), first)
        self.assertEqual(work.count(key), 1)

    @for_each_work
    def test_late_after_a_restart_of_every_control_process(
        self, work: Work, key: str
    ) -> None:
        first = self.ask_until_resolved(work, key, "a")
        work.find_upstream("b").set_fault(kind="drop")
        unknown = work.ask(f"{key}-lost", "b")
        self.check(unknown, 502, "outcome_unknown", "outcome_unknown")
        work.find_upstream("b").set_fault(kind="none")
        for control in self.network.controls:
            control.process.kill()
        for control in list(self.network.controls):
            self.network.deployment.restart(control)
        for data_centre in DATA_CENTRES:
            self.wait_for_record(work, key, data_centre)
            again = self.ask_until_resolved(work, key, data_centre)
            self.check_replay(again, first)
            lost = self.ask_until_resolved(work, f"{key}-lost", data_centre)
            self.check_unknown(lost)
        self.assertEqual(work.count(key), 1)
        self.assertLessEqual(work.count(f"{key}-lost"), 1)

    def test_resends_at_every_router_while_processes_freeze_and_are_killed(self):
        """Inject freezes, partitions and kills in turn, drawn from a seed."""
        self.addCleanup(self.restore)
        work = self.works[0]
        keys = [f"storm-{number}" for number in range(STORM_KEYS)]
        asked = [self.pool.submit(self.resend, work, key) for key in keys]
        self.disturb(random.Random(SEED))
        for key, each in zip(keys, asked, strict=True):
            with self.subTest(key):
                self.check_key(each.result(), work.count(key))

    def resend(self, work: Work, key: str) -> list[calls.Answer]:
        """Send a request several times, each at a random router."""
        source = random.Random(key)
        return [work.ask(key, source.choice(DATA_CENTRES)) for _ in range(RESENDS)]

    def disturb(self, source: random.Random) -> None:
        """Freeze, partition and kill in turn, and undo each fault before the next."""
        for _ in range(ROUNDS):
            for fault in (self.freeze_router, self.cut, self.kill_control, self.kill):
                fault(source)
        self.network.heal()

    def freeze_router(self, source: random.Random) -> None:
        router = source.choice(self.network.routers)
        router.process.send_signal(signal.SIGSTOP)
        self.network.find_leader()
        router.process.send_signal(signal.SIGCONT)

    def cut(self, source: random.Random) -> None:
        self.network.freeze_data_centre(source.choice(DATA_CENTRES))
        self.network.find_leader()
        self.network.heal()

    def kill_control(self, source: random.Random) -> None:
        control = source.choice(self.network.controls)
        control.process.kill()
        self.network.deployment.restart(control)

    def kill(self, source: random.Random) -> None:
        router = source.choice(self.network.routers)
        router.process.kill()
        self.network.deployment.restart(router)

    def check_key(self, answers: list[calls.Answer], count: int) -> None:
        self.assertLessEqual(count, 1)
        bodies = {answer.data for answer in answers if answer.status == 200}
        self.assertLessEqual(len(bodies), 1)
        if bodies:
            self.assertEqual(count, 1)
        runs = {answer.run if answer.status else "lost" for answer in answers}
        if runs <= {"not_run"}:
            self.assertEqual(count, 0)
