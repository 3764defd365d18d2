"""The daemon's part of placement, with real engine stand-ins on loopback.

The agreed log is a plain state, links are queues, and greenlets are plain calls. Each
message is encoded and decoded by the wire's codec.
"""

import collections
import contextlib
import io
import json
import time
import unittest

from trestlestall.daemon import patching  # isort: skip

from packages.standins.tests import programs
from trestlestall.configuration import commands, model as configuration_model
from trestlestall.daemon import environment, logs
from trestlestall.daemon.placement import engine_client, gate_server, leader, messages
from trestlestall.membership import upstreams
from trestlestall.placement import (
    actions,
    documents,
    events,
    gate,
    model,
    orders,
    settings,
)
from trestlestall.standins import calls, deployment
from trestlestall.wire import codec

__all__ = ["patching"]

FAST = settings.Settings(
    planning=settings.Planning(models_per_engine=1, settle=0.0, every=0.1, busy=1.0),
    sending=settings.Sending(
        permit=0.5, forward=0.5, answer=1.0, retry=0.3, ask=0.05, drain_settle=0.1
    ),
    loading=settings.Loading(spread=0.1, interval=0.05, retry_first=0.1),
)
TURNS = 400
TURN_SECONDS = 0.02


class Cluster:
    """A control process and the routers of one data centre, without their processes.

    ``is_lost(message)`` says which messages are lost on the way.
    """

    def __init__(self, engines, routers=("r1",)):
        self.engines = dict(engines)
        self.checks = {}
        self.clock = environment.Clock()
        self.state, self.term = orders.EMPTY, 1
        self.configuration = configuration_model.Configuration()
        self.queue = collections.deque()
        self.is_lost = lambda message: False
        self.lines = io.StringIO()
        self.gate_servers = {
            name: gate_server.GateServer(
                gate.Gate(f"{name}#1", FAST.sending),
                self.find,
                self.clock,
                lambda peer, message: self.send(None, message),
                lambda function, *arguments: function(*arguments),
            )
            for name in routers
        }
        effects = leader.Effects(
            self.propose,
            lambda done: self.queue.append((done, ())),
            self.submit,
            self.send,
            lambda: [leader.Sighting(self.find(name)) for name in self.engines],
            lambda: {"a": tuple(self.gate_servers)},
        )
        log = logs.Log(self.lines, self.clock, "control-1")
        self.leader = leader.Leader(FAST, 1, effects, self.clock, log)

    def want(self, name, copies):
        """Declare copies of a model, and zero copies of those declared before."""
        former = dict.fromkeys(self.configuration.copies, 0)
        copies = {
            name: configuration_model.ModelCopies(name, count)
            for name, count in {**former, name: copies}.items()
        }
        self.configuration = configuration_model.Configuration(copies=copies)

    def find(self, name):
        """Return an engine's present announcement."""
        state = engine_client.fetch_state(str(self.engines[name]))
        return upstreams.Upstream(
            name,
            1,
            "a",
            str(self.engines[name]),
            models=tuple(state.get("models", ())),
            capabilities=upstreams.Capabilities(checks_fencing=self.checks[name]),
        )

    def send(self, peer, message):
        """Queue a message, encoded and decoded, unless it is lost."""
        if not self.is_lost(message):
            carried = codec.decode(codec.encode(message))
            self.queue.append((self.receive, (peer, carried)))

    def receive(self, peer, message):
        if peer is None:
            self.leader.handle(message)
        else:
            self.gate_servers[peer].handle("control-1", message)

    def propose(self, document):
        self.queue.append((self.commit, (document,)))

    def commit(self, document):
        event = documents.decode_event(document)
        self.state, _ = orders.apply(self.state, event, self.clock.wall())

    def submit(self, command):
        change = {
            commands.Drain: self.configuration.drained | {command.upstream},
            commands.Admit: self.configuration.drained - {command.upstream},
        }
        self.configuration = configuration_model.Configuration(
            copies=self.configuration.copies, drained=change[type(command)]
        )

    def run_until(self, condition):
        """Run turns until the condition holds; fails after many turns."""
        self.leader.handle_leadership(self.term)
        for _ in range(TURNS):
            self.leader.handle_state(self.state, self.configuration)
            self.leader.turn()
            while self.queue:
                function, arguments = self.queue.popleft()
                function(*arguments)
            if condition():
                self.leader.handle_state(self.state, self.configuration)
                return
            time.sleep(TURN_SECONDS)
        raise AssertionError(f"not reached: {self.state}")

    def is_quiet(self):
        return bool(self.state.recent) and not self.state.tasks

    def read_orders(self, name):
        """Return the orders that the engine accepted, as ``fence kind model``."""
        accepted = engine_client.fetch_state(str(self.engines[name]))["orders"]
        return [f"{one['fence']} {one['kind']} {one['model']}" for one in accepted]

    def list_events(self):
        return [json.loads(line)["name"] for line in self.lines.getvalue().splitlines()]


@contextlib.contextmanager
def open_cluster(checks=("yes",), weights="", **options):
    """Yield a cluster with an empty engine for each of ``checks``."""
    with contextlib.ExitStack() as stack:
        engines, kinds = {}, {}
        for number, answer in enumerate(checks):
            name = f"e{number}"
            started = programs.start_standin(
                name=name, models="", checks_fencing=answer, weights=weights
            )
            _, engines[name] = stack.enter_context(started)
            kinds[name] = answer == "yes"
        cluster = Cluster(engines, **options)
        cluster.checks = kinds
        yield cluster


class PlacementTest(unittest.TestCase):
    def test_models_are_loaded_and_a_version_rolls(self):
        """On an engine that checks fencing and one that does not, with log lines."""
        with open_cluster(("yes", "no")) as cluster:
            cluster.want("m1", 2)
            cluster.run_until(
                lambda: len(cluster.state.recent) == 2 and cluster.is_quiet()
            )
            answer = calls.ask(cluster.engines["e1"], "m1", "hello")
            self.assertEqual(answer.status, 200)
            cluster.commit(documents.encode_event(events.BeginRollout(1, "m1", "v2")))
            cluster.run_until(lambda: len(cluster.state.recent) == 4)
            states = [
                engine_client.fetch_state(str(each))
                for each in cluster.engines.values()
            ]
            held = sorted(str(each["versions"]) for each in states)
            self.assertEqual(held, ["{'m1': ''}", "{'m1': 'v2'}"])
            written = cluster.list_events()
        for name, times in [
            ("placement_decided", 2),
            ("order_logged", 4),
            ("order_sent", 4),
            ("order_done", 4),
        ]:
            with self.subTest(name):
                self.assertEqual(written.count(name), times)

    def test_a_lost_answer_is_resolved_by_a_query(self):
        for checks in ("yes", "no"):
            with self.subTest(checks=checks), open_cluster((checks,)) as cluster:
                cluster.is_lost = lambda message: isinstance(
                    message, messages.OrderAnswer
                )
                cluster.want("m1", 1)
                cluster.run_until(cluster.is_quiet)
                self.assertEqual(cluster.read_orders("e0"), ["1 load m1"])

    def test_a_delayed_order_is_refused_when_it_arrives(self):
        """An engine that ignores fencing would accept it: the gate refuses it."""
        for checks, routers in [
            ("yes", ("r1",)),
            ("no", ("r1",)),
            ("no", ("r2", "r1")),
        ]:
            with (
                self.subTest(checks=checks, routers=routers),
                open_cluster((checks,), routers=routers) as cluster,
            ):
                delayed = []

                def delay_first_order(message, delayed=delayed):
                    first = isinstance(message, messages.OrderCall) and not delayed
                    delayed.extend([message] if first else [])
                    return first

                cluster.is_lost = delay_first_order
                cluster.want("m1", 1)
                cluster.run_until(cluster.is_quiet)
                cluster.want("m2", 1)
                cluster.run_until(
                    lambda: len(cluster.state.recent) == 3 and cluster.is_quiet()
                )
                before = cluster.read_orders("e0")
                for name in cluster.gate_servers:
                    cluster.gate_servers[name].handle("control-1", delayed[0])
                self.assertEqual(cluster.read_orders("e0"), before)
                fences = [int(line.split()[0]) for line in before]
                self.assertEqual(fences, sorted(fences))
                self.assertEqual(before[-1].split()[1:], ["load", "m2"])

    def test_a_refused_load_is_retried(self):
        store_options = {"name": None, "concurrent": "0"}
        started = programs.start_standin(deployment.WEIGHTS, **store_options)
        with started as (_, store), open_cluster(weights=str(store)) as cluster:
            cluster.want("m1", 1)
            cluster.run_until(lambda: len(cluster.state.recent) == 3)
            reasons = {closed.reason for closed in cluster.state.recent}
            self.assertEqual(reasons, {"store_refused"})
            self.assertGreaterEqual(programs.read_counts(store)["refused"], 3)


class EngineClientTest(unittest.TestCase):
    def test_answers(self):
        table = [
            (200, b"{}", actions.Result.TAKEN, ""),
            (409, b'{"error":{"code":"stale_fence"}}', "refused", "stale_fence"),
            (400, b"rubbish", "refused", "status_400"),
            (400, b'{"error":3}', "refused", "status_400"),
            (503, None, "unknown", "status_503"),
        ]
        for status, body, result, reason in table:
            with self.subTest(status=status, body=body):
                found = engine_client.evaluate_answer(status, body)
                self.assertEqual((found.result, found.reason), (result, reason))

    def test_nothing_is_sent_too_late_or_to_nobody(self):
        order = model.Order(model.LOAD, "m1")
        with open_cluster() as cluster:
            address = str(cluster.engines["e0"])
            late = engine_client.send_order(address, 1, order, lambda: False)
            self.assertEqual(
                late,
                engine_client.Delivery(actions.Result.NOT_SENT, engine_client.TOO_LATE),
            )
            self.assertEqual(cluster.read_orders("e0"), [])
        refused = engine_client.send_order(address, 1, order, lambda: True)
        self.assertEqual(refused.result, actions.Result.NOT_SENT)
        self.assertEqual(engine_client.fetch_state(address), {})

    def test_malformed_orders(self):
        for order in ({}, {"kind": "boil"}, {"kind": "load", "model": 3}, {"x": 1}):
            with self.subTest(order):
                call = messages.OrderCall("e0", 1, 1, "r1#1", 1, order)
                self.assertIsNone(gate_server.read_order(call))


if __name__ == "__main__":
    unittest.main()
