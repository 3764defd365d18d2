"""At most once: resends anywhere, during cuts, kills and freezes, on real processes.

Three data centres, each with a control voter, a router, a plain service and an engine.
What ran is read off the counters of the services and engines alone.
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
# For what follows the first bytes of a request, which its router has still to write.
REST_SECONDS = 0.1
SETTLED = (200, 409)


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
    """A kind of work that may run once: how to ask for it and to count its runs."""

    network: relays.Network
    kind: str

    def ask(self, key: str, data_centre: str) -> calls.Answer:
        """Ask for the work of a key at a data centre's router."""
        where = self.network.find(f"router-{data_centre}1").callers
        if self.kind == "service":
            path = "/v1/services/slots/book"
            return calls.call("POST", where, path, {}, KEY, idempotency_key=key)
        text = self.write_prompt(key)
        return calls.ask(where, "m2", text, KEY, idempotency_key=key)

    def count(self, key: str) -> int:
        """Return how often the work of a key ran, in all data centres together."""
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
        """Return the text that stands for a key at an engine."""
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
                    self.mend()

    return run


def mend(network: relays.Network) -> None:
    """Make a network whole again, whatever a test has left."""
    network.heal()
    for daemon in network.controls + network.routers:
        daemon.process.send_signal(signal.SIGCONT)
        if not daemon.process.running:
            network.deployment.restart(daemon)
    network.wait_until_in_force()


class OnceTest(unittest.TestCase):
    """Each test leaves the network whole."""

    @classmethod
    def setUpClass(cls):
        started = relays.start_network(make_plan(), COMMANDS)
        cls.network = cls.enterClassContext(started)
        cls.works = [Work(cls.network, kind) for kind in ("service", "engine")]
        cls.pool = cls.enterClassContext(concurrent.futures.ThreadPoolExecutor(32))

    def mend(self) -> None:
        mend(self.network)

    def ask_until_settled(self, work: Work, key: str, data_centre: str) -> calls.Answer:
        """Resend until control says what is known of the key; refusals are true."""
        answers = []

        def ask() -> bool:
            answers.append(work.ask(key, data_centre))
            if answers[-1].status not in SETTLED:
                self.check(answers[-1], 503, "claim_unavailable", "not_run")
            return answers[-1].status in SETTLED

        processes.wait_until(ask, f"{key} is settled at {data_centre}")
        return answers[-1]

    def wait_for_record(self, work: Work, key: str, data_centre: str) -> None:
        """Wait until the first answer is on record, a few ms after it was given."""
        processes.wait_until(
            lambda: self.ask_until_settled(work, key, data_centre).status == 200,
            f"the answer to {key} is on record",
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
        """Check an answer given while the first was perhaps not on record yet."""
        if answer.status == 200:
            self.assertEqual(answer.data, first.data)
        else:
            self.check_unknown(answer)

    def hold(self, work: Work, key: str, data_centre: str):
        """Ask, and return the future answer once the bytes wait on their way.

        The request is claimed and sent, and has not reached its upstream: the router
        can't know whether it runs.
        """
        relay = work.find_upstream(data_centre).relay
        relay.freeze()
        before = relay.accepted
        lost = self.pool.submit(work.ask, key, data_centre)
        processes.wait_until(lambda: relay.accepted > before, f"{key} is sent")
        time.sleep(REST_SECONDS)
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
        first = self.ask_until_settled(work, key, "a")
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
        self.check_unknown(self.ask_until_settled(work, key, "a"))
        relay.thaw()
        first = lost.result()
        self.assertEqual(first.status, 200)
        self.check_unknown(self.ask_until_settled(work, key, "b"))
        self.network.heal()
        processes.wait_until(
            lambda: work.ask(key, "b").status == 200, "it is on record"
        )
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
        self.mend()
        for data_centre in DATA_CENTRES:
            self.check_unknown(work.ask(key, data_centre))
        self.assertEqual(work.count(key), 1)

    @for_each_work
    def test_a_router_frozen_between_claim_and_send(self, work: Work, key: str) -> None:
        """Its grant waits in its socket while it stands still; then it goes on."""
        router = self.network.find("router-a1")
        key, frozen, doors = self.hold_grant(work, key)
        router.process.send_signal(signal.SIGSTOP)
        for link in doors:
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

    def hold_grant(self, work: Work, key: str):
        """Ask at a, and let the grant not reach it; return key, answer and links.

        That the grant is made is seen by a resend at b, which is told so. Should b be
        first, its resend runs, and another key is tried.
        """
        doors = self.network.find_links(lambda dialler, _: dialler == "router-a1")
        for number in range(TRIES):
            tried = f"{key}-{number}"
            self.ask_until_settled(work, f"{tried}-first", "a")  # a knows the leader
            for link in doors:
                link.back.clear()
            frozen = self.pool.submit(work.ask, tried, "a")
            self.wait_for_arrival("router-a1", tried)
            probe = work.ask(tried, "b")
            if probe.status == 409:
                self.check_unknown(probe)
                return tried, frozen, doors
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
        self.check_unknown(self.ask_until_settled(work, key, "a"))
        relay.thaw()
        first = lost.result()
        self.assertEqual(first.status, 200)
        processes.wait_until(
            lambda: work.ask(key, "c").status == 200, "it is on record"
        )
        self.check_replay(work.ask(key, "a"), first)
        self.assertEqual(work.count(key), 1)

    @for_each_work
    def test_late_after_a_restart_of_every_control_process(
        self, work: Work, key: str
    ) -> None:
        first = self.ask_until_settled(work, key, "a")
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
            again = self.ask_until_settled(work, key, data_centre)
            self.check_replay(again, first)
            lost = self.ask_until_settled(work, f"{key}-lost", data_centre)
            self.check_unknown(lost)
        self.assertEqual(work.count(key), 1)
        self.assertLessEqual(work.count(f"{key}-lost"), 1)

    def test_resends_at_every_router_while_processes_freeze_and_are_killed(self):
        """By a seed: freezes, cuts and kills, one after the other."""
        self.addCleanup(self.mend)
        work = self.works[0]
        keys = [f"storm-{number}" for number in range(STORM_KEYS)]
        asked = [self.pool.submit(self.resend, work, key) for key in keys]
        self.disturb(random.Random(SEED))
        for key, each in zip(keys, asked, strict=True):
            with self.subTest(key):
                self.check_key(each.result(), work.count(key))

    def resend(self, work: Work, key: str) -> list[calls.Answer]:
        """Ask at one router after the other, several times."""
        source = random.Random(key)
        return [work.ask(key, source.choice(DATA_CENTRES)) for _ in range(RESENDS)]

    def disturb(self, source: random.Random) -> None:
        """Freeze, cut and kill, one after the other, and mend each again."""
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
