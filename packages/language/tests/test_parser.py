"""Commands and queries as text, and the errors that point at a word."""

import unittest

from trestlestall.configuration import commands, model
from trestlestall.language import errors, parser, queries, voters

SENTENCES = {
    "declare class breakdown tier 0 target 2s first token 500ms idempotent floor 5%": (
        commands.DeclareClass(model.RequestClass("breakdown", 0, 2.0, 0.5, True, 0.05))
    ),
    "declare class alerts tier 3 target 30s at most once floor 2%": (
        commands.DeclareClass(model.RequestClass("alerts", 3, 30.0, None, False, 0.02))
    ),
    "remove class alerts": commands.RemoveClass("alerts"),
    'declare workspace basu key "secret" weight 2': commands.DeclareWorkspace(
        model.Workspace("basu", model.digest_key("secret"), 2.0)
    ),
    "bind workspace basu model m1 to breakdown or summary": commands.Bind(
        model.Binding("basu", "m1", "breakdown", ("summary",))
    ),
    "bind workspace basu service slots to alerts": commands.Bind(
        model.Binding("basu", "service:slots", "alerts")
    ),
    "unbind workspace basu model m1": commands.Unbind("basu", "m1"),
    "declare service slots": commands.DeclareService(model.Service("slots")),
    "set copies of model m1 to 2": commands.SetCopies(model.ModelCopies("m1", 2)),
    "drain upstream u1": commands.Drain("u1"),
    "admit upstream u1": commands.Admit("u1"),
    'show upstreams where data_centre = "x" and load>0.8': queries.Show(
        "upstreams",
        (
            queries.Condition("data_centre", "=", "x"),
            queries.Condition("load", ">", 0.8),
        ),
    ),
    "show classes": queries.Show("classes"),
    "explain request R": queries.Explain("R"),
    "history 20": queries.History(20),
    'add voter V at "127.0.0.1:9"': voters.AddVoter("V", "127.0.0.1:9"),
    "remove voter V": voters.RemoveVoter("V"),
}

# Each text with the column and the length of the word at fault, and a thing expected.
FAULTS = [
    ("", 1, 0, "'declare'"),
    ("declare calss x", 9, 5, "'class'"),
    ("declare class x tiers 0 target 2s", 17, 5, "'tier'"),
    ("declare class x tier 64 target 2s", 22, 2, "a whole number from 0 to 63"),
    ("declare class x tier 0", 23, 0, "target"),
]


class ParserTest(unittest.TestCase):
    def test_sentences(self):
        """Each sentence gives its command or query."""
        for text, expected in SENTENCES.items():
            with self.subTest(text=text):
                self.assertEqual(parser.parse(text), expected)

    def test_faults(self):
        """Each fault is returned as a value that points at the word."""
        for text, column, length, expected in FAULTS:
            with self.subTest(text=text):
                error = parser.parse(text)
                self.assertIsInstance(error, errors.LanguageError)
                self.assertEqual((error.column, error.length), (column, length))
                self.assertIn(expected, error.expected)


if __name__ == "__main__":
    unittest.main()
