"""The operators' page on the language holds what the parser does."""

import pathlib
import re
import unittest

from trestlestall.configuration import commands
from trestlestall.language import builder, errors, parser, queries, voters

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "operators" / "language.md"
BLOCK = re.compile(r"^```(\w+)\n(.*?)^```$", re.MULTILINE | re.DOTALL)
VOTER_COMMANDS = (voters.AddVoter, voters.RemoveVoter)


def read_blocks(kind):
    """Return the texts of the page's blocks of a kind."""
    found = BLOCK.findall(PAGE.read_text(encoding="utf-8"))
    return [text for name, text in found if name == kind]


def read_lines(kind):
    return [line for text in read_blocks(kind) for line in text.splitlines()]


def render(text):
    """Return the error of a text as the page shows it."""
    error = parser.parse(text)
    carets = " " * (error.column - 1) + "^" * max(1, error.length)
    return f"{text}\n{carets}\n{error.message}\n"


class ManualTest(unittest.TestCase):
    def test_examples_parse(self):
        """Each example is a command or a query, as its block says."""
        command_types = (*commands.REGISTRY.values(), *VOTER_COMMANDS)
        for kind, types in (("commands", command_types), ("queries", queries.Query)):
            for line in read_lines(kind):
                with self.subTest(line=line):
                    self.assertIsInstance(parser.parse(line), types)

    def test_each_command_has_an_example(self):
        """No rule of the grammar and no subject of ``show`` is left out."""
        lines = [*read_lines("commands"), *read_lines("queries")]
        trees = [parser.PARSER.parse(line) for line in lines]
        shown = {rule.data for tree in trees for rule in tree.iter_subtrees()}
        self.assertEqual(set(builder.BUILDERS) - shown, set())
        self.assertEqual(set(builder.READERS) - shown, set())
        subjects = {f"show {subject}" for subject in parser.SUBJECTS}
        self.assertEqual(subjects - set(lines), set())

    def test_errors_are_as_shown(self):
        """Each error of the page is the parser's, word for word."""
        (block,) = read_blocks("errors")
        for shown in block.split("\n\n"):
            text = shown.split("\n")[0]
            with self.subTest(text=text):
                self.assertIsInstance(parser.parse(text), errors.LanguageError)
                self.assertEqual(render(text).strip(), shown.strip())


if __name__ == "__main__":
    unittest.main()
