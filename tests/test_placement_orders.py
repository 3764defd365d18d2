"""Load orders are executed exactly once, also when the control leader is killed.

The deployment has three control voters, two routers and engine stand-ins as separate
processes. The tests check the list of accepted orders that each engine keeps.
"""

import unittest

from tests import helpers
from trestlestall.standins import calls, deployment, processes

KEY = "key-of-basu"
COMMANDS = (
    "declare class breakdown tier 0 target 30s idempotent",
    f'declare workspace basu key "{KEY}"',
    "bind workspace basu model m1 to breakdown",
    # Bound and loaded on no engine, but without a declared number of copies.
    "bind workspace basu model m2 to breakdown",
)
WAIT_SECONDS = 90.0


def plan_engine(name: str, models: tuple[str, ...], checks: str):
    return deployment.EnginePlan(name, "a", models, (("checks_fencing", checks),))


PLAN = deployment.Plan(
    data_centres=("a",),
    controls=3,
    routers_per_data_centre=2,
    engines=(
        plan_engine("holder", ("m1",), "yes"),
        plan_engine("checks", ("m8",), "yes"),
        plan_engine("ignores", ("m8",), "no"),
        plan_engine("full", ("m8", "m9"), "yes"),
    ),
)


class PlacementOrdersTest(unittest.TestCase):
    def setUp(self):
        self.running = self.enterContext(helpers.start(PLAN))
        self.engines = {one.name: one for one in self.running.engines}
        self.running.operate(*COMMANDS)

    def wait_until(self, condition, what: str) -> None:
        processes.wait_until(condition, what, WAIT_SECONDS)

    def read_state(self, name: str) -> dict:
        return calls.call("GET", self.engines[name].address, "/v1/state").document

    def read_orders(self, name: str) -> list[str]:
        """Return every order that the engine accepted, as ``kind model``."""
        taken = self.read_state(name)["orders"]
        return [f"{one['kind']} {one['model']}" for one in taken]

    def read_events(self, control: deployment.Daemon) -> list[dict]:
        """Return a control voter's placement events, also from before a restart."""
        read = control.process.read_events()
        return [one for one in read if one["event"].startswith("TS6")]

    def count_events(self, name: str, **fields) -> int:
        """Return how often all control voters together have logged an event."""
        return sum(
            one["name"] == name and fields.items() <= one.items()
            for control in self.running.controls
            for one in self.read_events(control)
        )

    def find_sender(self, engine: str) -> deployment.Daemon | None:
        """Return the control process that has sent an order to the engine."""
        for control in self.running.controls:
            for one in self.read_events(control):
                if one["name"] == "order_sent" and one["upstream"] == engine:
                    return control
        return None

    def serves(self, engine: str) -> bool:
        """Return whether all routers list model m1 for the engine."""
        text = f'show upstreams where name = "{engine}"'
        answers = [self.running.query(text, one) for one in self.running.routers]
        rows = [one.document["rows"] for one in answers]
        return all(found and "m1" in found[0]["models"] for found in rows)

    def check_orders(self) -> None:
        """Check that each engine without the model got one load order, others none."""
        for name in ("checks", "ignores"):
            with self.subTest(name):
                self.assertEqual(self.read_orders(name), ["load m1"])
                self.assertEqual(sorted(self.read_state(name)["models"]), ["m1", "m8"])
                answer = calls.ask(self.engines[name].address, "m1", "hello")
                self.assertEqual(answer.status, 200)
        for name in ("holder", "full"):
            with self.subTest(name):
                self.assertEqual(self.read_orders(name), [])

    def test_declared_copies_are_loaded_once_and_nothing_else(self):
        self.running.operate("set copies of model m1 to 3")
        for name in ("checks", "ignores"):
            self.wait_until(lambda n=name: self.serves(n), f"{name} serves m1")
        self.wait_until(lambda: self.count_events("order_done") == 2, "both are done")
        self.check_orders()
        for name in ("placement_decided", "order_logged", "order_sent", "order_done"):
            with self.subTest(name):
                self.assertEqual(self.count_events(name), 2)
        copies = {"model": "m1", "copies": 3, "data_centre": "a", "held": 3}
        self.wait_until(
            lambda: self.running.query("show copies").document["rows"] == [copies],
            "control reports the copies that are loaded",
        )
        fences = [self.read_state(name)["fence"] for name in ("checks", "ignores")]
        self.assertEqual(sorted(fences), [1, 2])

    def test_a_killed_leaders_order_is_settled_by_its_successor(self):
        """The leader is killed after it sent an order, before it learned the result."""
        self.running.operate("set copies of model m1 to 3")
        for name in ("checks", "ignores"):
            self.wait_until(lambda n=name: self.find_sender(n), f"an order to {name}")
            former = self.find_sender(name)
            former.process.kill()
            with self.subTest(name):
                self.assertEqual(self.count_events("order_done", upstream=name), 0)
            self.wait_until(
                lambda n=name: self.count_events("order_done", upstream=n) == 1,
                f"the successor has resolved the order to {name}",
            )
            self.running.restart(former)
        for name in ("checks", "ignores"):
            self.wait_until(lambda n=name: self.serves(n), f"{name} serves m1")
        self.check_orders()


if __name__ == "__main__":
    unittest.main()
