"""Commands: bounds of their values, and what must be declared before them."""

import dataclasses
import math
import unittest

import hypothesis

from packages.configuration.tests import generated
from trestlestall.configuration import checks, commands, model, outcomes, state

CLASS = model.RequestClass("fast", 0, 2.0)
WORKSPACE = model.Workspace("basu", model.digest_key("secret"))
BINDING = model.Binding("basu", "m1", "fast")
COPIES = model.ModelCopies("m1", 2)
LONG = "x" * 129

# A good value, the field to change, and the values that it may not take.
BOUNDS = [
    (commands.DeclareClass, CLASS, "name", ["", "a b", "ü", "-a", LONG, "a\n"]),
    (commands.DeclareClass, CLASS, "tier", [-1, 64, 10**100]),
    (commands.DeclareClass, CLASS, "target", [0.0, -1.0, math.inf, math.nan, 86401.0]),
    (commands.DeclareClass, CLASS, "first_token_target", [0.0, 2.1, math.nan]),
    (commands.DeclareClass, CLASS, "floor", [-0.01, 1.01, math.nan, math.inf]),
    (commands.DeclareWorkspace, WORKSPACE, "name", ["", "a:b", "\ud800"]),
    (commands.DeclareWorkspace, WORKSPACE, "key_digest", ["", "secret", "A" * 64]),
    (commands.DeclareWorkspace, WORKSPACE, "weight", [0.0, -1.0, math.inf, math.nan]),
    (commands.Bind, BINDING, "workspace", ["", "a b"]),
    (commands.Bind, BINDING, "target", ["", "service:", "service:a:b", "m 1"]),
    (commands.Bind, BINDING, "request_class", ["", "a/b"]),
    (commands.Bind, BINDING, "alternatives", [("fast",), ("b", "b"), ("",)]),
    (commands.SetCopies, COPIES, "model", ["", "service:slots"]),
    (commands.SetCopies, COPIES, "copies", [-1, 1001]),
    (commands.DeclareService, model.Service("slots"), "name", ["", "a:b", LONG]),
]
NAMED = [
    (commands.RemoveClass, "name"),
    (commands.RemoveWorkspace, "name"),
    (commands.RemoveService, "name"),
    (commands.Drain, "upstream"),
    (commands.Admit, "upstream"),
]

DECLARE = commands.DeclareClass(CLASS)
OWN = commands.DeclareWorkspace(WORKSPACE)
BIND = commands.Bind(BINDING)
SLOTS = commands.DeclareService(model.Service("slots"))
BIND_SLOTS = commands.Bind(model.Binding("basu", "service:slots", "fast"))
SLOW = commands.DeclareClass(model.RequestClass("slow", 1, 9.0, floor=0.49))
BIND_BOTH = commands.Bind(model.Binding("basu", "m1", "fast", ("slow",)))
GREEDY = commands.DeclareClass(model.RequestClass("greedy", 1, 9.0, floor=0.5))
REKEYED = model.Workspace("basu", model.digest_key("other"))
OTHER = commands.DeclareWorkspace(dataclasses.replace(WORKSPACE, name="krvodar"))

# Commands that are accepted in turn, then one more and the code it must be refused with
# (empty: accepted).
FITS = [
    ([DECLARE], GREEDY, "floors_too_high"),
    ([DECLARE], SLOW, ""),
    ([DECLARE, SLOW], DECLARE, ""),
    ([], commands.RemoveClass("fast"), "unknown_class"),
    ([DECLARE], commands.RemoveClass("fast"), ""),
    ([DECLARE, OWN, BIND], commands.RemoveClass("fast"), "class_in_use"),
    ([DECLARE, SLOW, OWN, BIND_BOTH], commands.RemoveClass("slow"), "class_in_use"),
    ([OWN], OTHER, "key_in_use"),
    ([OWN, commands.DeclareWorkspace(REKEYED)], OTHER, ""),
    ([OWN, commands.RemoveWorkspace("basu")], OTHER, ""),
    ([], commands.RemoveWorkspace("basu"), "unknown_workspace"),
    ([DECLARE, OWN, BIND], commands.RemoveWorkspace("basu"), "workspace_in_use"),
    ([DECLARE], BIND, "unknown_workspace"),
    ([OWN], BIND, "unknown_class"),
    ([DECLARE, OWN], BIND_BOTH, "unknown_class"),
    ([DECLARE, OWN], BIND_SLOTS, "unknown_service"),
    ([DECLARE, OWN, SLOTS], BIND_SLOTS, ""),
    (
        [DECLARE, OWN, SLOTS, BIND_SLOTS],
        commands.RemoveService("slots"),
        "service_in_use",
    ),
    ([], commands.RemoveService("slots"), "unknown_service"),
    ([], commands.Unbind("basu", "m1"), "unknown_binding"),
    ([DECLARE, OWN, BIND], commands.Unbind("basu", "m1"), ""),
    ([], commands.Admit("u1"), "not_drained"),
    ([commands.Drain("u1")], commands.Drain("u1"), ""),
    ([commands.Drain("u1")], commands.Admit("u1"), ""),
]


def submit(held, command):
    number = held.configuration.version + 1
    submission = commands.Submission(f"r{number}", "alice", number, command)
    foreseen = state.check_submission(held, submission)
    after, outcome = state.apply_submission(held, submission, 0.0)
    assert foreseen == outcome, (foreseen, outcome)
    return after, outcome


class CommandsTest(unittest.TestCase):
    def test_bounds_of_values(self):
        """A value out of bounds is refused with its field; nothing is kept of it."""
        cases = [
            (made(dataclasses.replace(good, **{field: value})), field)
            for made, good, field, values in BOUNDS
            for value in values
        ]
        cases += [(made("a b"), field) for made, field in NAMED]
        cases += [(commands.Unbind("", "m1"), "workspace")]
        cases += [(commands.Unbind("basu", "m 1"), "target")]
        for command, field in cases:
            with self.subTest(command=command):
                after, outcome = submit(state.EMPTY, command)
                self.assertEqual(outcome.code, checks.INVALID_VALUE)
                self.assertEqual(outcome.field, field)
                self.assertIs(after, state.EMPTY)

    def test_what_must_be_declared(self):
        """Each command fits what is declared before it, or is refused with its code."""
        for before, command, code in FITS:
            with self.subTest(before=before, command=command):
                held = state.EMPTY
                for earlier in before:
                    held, outcome = submit(held, earlier)
                    self.assertIsInstance(outcome, outcomes.Accepted)
                after, outcome = submit(held, command)
                self.assertEqual(getattr(outcome, "code", ""), code)
                if code:
                    self.assertEqual(after.configuration, held.configuration)

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(generated.WILD_COMMANDS)
    def test_no_decodable_command_raises(self, command):
        """A command of any content has an outcome: raising would stop the voters."""
        _, outcome = submit(state.EMPTY, command)
        self.assertIsInstance(outcome, outcomes.Accepted | outcomes.Rejected)


if __name__ == "__main__":
    unittest.main()
