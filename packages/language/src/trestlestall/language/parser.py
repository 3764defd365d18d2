"""The parser of the operators' language.

Example:

    >>> parse("drain upstream u1")
    Drain(upstream='u1')
    >>> parse("drain upstreem u1").column
    7
"""

import difflib
import importlib.resources
import re
import typing

import lark

from trestlestall.configuration import checks, commands
from trestlestall.language import builder, errors, queries, voters

TEXT_LIMIT = 4096
END = "$END"
FAULTY_WORD = re.compile(r'"[^"\n]*"?|[^\s"]+')
LABELS = {
    END: "the end",
    "IDENTIFIER": "a name",
    "NAME": "a name",
    "VOTER_NAME": "a voter's name",
    "WORD": "a word",
    "STRING": 'a text in double quotes, such as "x"',
    "INTEGER": "a whole number",
    "NUMBER": "a number",
    "PERCENT": "a percentage such as 5%",
    "DURATION": "a duration such as 500ms, 2s, 1.5min or 1h",
    "FIELD": "a field's name",
    "OPERATOR": "one of =, !=, <, <=, >, >=",
}
SUBJECTS = (
    "bindings",
    "classes",
    "copies",
    "requests",
    "routers",
    "services",
    "upstreams",
    "versions",
    "voters",
    "workspaces",
)

Statement: typing.TypeAlias = (
    commands.Command | queries.Query | voters.AddVoter | voters.RemoveVoter
)


def _load_parser() -> lark.Lark:
    files = importlib.resources.files("trestlestall.language")
    grammar = files.joinpath("grammar.lark").read_text(encoding="utf-8")
    return lark.Lark(grammar, parser="lalr", lexer="contextual")


PARSER = _load_parser()


def parse(text: str) -> Statement | errors.LanguageError:
    """Return the command or query that the text says, or the word at fault."""
    sentence = _read(text)
    if isinstance(sentence, errors.LanguageError):
        return sentence
    value = sentence.value
    if type(value) in checks.REGISTRY:
        problem = checks.find_problem(value)
        if problem is not None:
            expected = (problem.expected,)
            return _point(sentence, problem.field, problem.message, expected)
    return value


def point_at(text: str, field: str, message: str) -> errors.LanguageError:
    """Return an error at the word of a good text that gave the field.

    For a command that was rejected only when it met the configuration, such as a
    binding to a class that is not declared. An unknown field points at the first word.
    """
    sentence = _read(text)
    if isinstance(sentence, errors.LanguageError):
        return sentence
    return _point(sentence, field, message, ())


def _read(text: str) -> builder.Sentence | errors.LanguageError:
    if len(text) > TEXT_LIMIT:
        message = f"the text is longer than {TEXT_LIMIT} characters"
        return errors.LanguageError(1, TEXT_LIMIT + 1, 0, message, ("a shorter text",))
    try:
        tree = PARSER.parse(text)
    except lark.UnexpectedInput as error:
        return _explain(text, error)
    built = builder.build(tree)
    if isinstance(built, builder.Fault):
        return _locate(text, built)
    return built


def _point(
    sentence: builder.Sentence, field: str, message: str, expected: tuple[str, ...]
) -> errors.LanguageError:
    word = sentence.words.get(field)
    if word is None:
        return errors.LanguageError(1, 1, 0, message, expected)
    return errors.LanguageError(word.line, word.column, len(word), message, expected)


def _locate(text: str, fault: builder.Fault) -> errors.LanguageError:
    word = fault.word
    if word is None:
        line, column = _find_end(text)
        return errors.LanguageError(line, column, 0, fault.message, fault.expected)
    return errors.LanguageError(
        word.line, word.column, len(word), fault.message, fault.expected
    )


def _find_end(text: str) -> tuple[int, int]:
    lines = text.rstrip().split("\n")
    return len(lines), len(lines[-1]) + 1


def _explain(text: str, error: lark.UnexpectedInput) -> errors.LanguageError:
    expected = _list_expected(error)
    wanted = " or ".join(expected)
    ended = isinstance(error, lark.UnexpectedToken) and error.token.type == END
    if ended or isinstance(error, lark.UnexpectedEOF):
        line, column = _find_end(text)
        message = f"the text ends, expected {wanted}"
        return errors.LanguageError(line, column, 0, message, expected)
    word = FAULTY_WORD.match(text, error.pos_in_stream)[0]
    message = f"unexpected {word!r}, expected {wanted}{_suggest(word, expected)}"
    return errors.LanguageError(error.line, error.column, len(word), message, expected)


def _list_expected(error: lark.UnexpectedInput) -> tuple[str, ...]:
    if isinstance(error, lark.UnexpectedCharacters):
        names = error.allowed
    else:
        names = error.accepts or error.expected
    labels: set[str] = set()
    for name in names:
        labels.update(_label(name))
    return tuple(sorted(labels))


def _label(name: str) -> tuple[str, ...]:
    if name == "SUBJECT":
        return tuple(f"'{subject}'" for subject in SUBJECTS)
    if name.startswith("__"):
        return ()
    keyword = name.removeprefix("_").lower()
    return (LABELS.get(name, f"'{keyword}'"),)


def _suggest(word: str, expected: tuple[str, ...]) -> str:
    close = difflib.get_close_matches(f"'{word}'", expected, n=1)
    return f"; did you mean {close[0]}?" if close else ""
