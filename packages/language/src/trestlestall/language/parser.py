"""Parser of the operators' command and query language.

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

TEXT_LIMIT_CHARACTERS = 4096
END = "$END"
INVALID_WORD_PATTERN = re.compile(r'"[^"\n]*"?|[^\s"]+')
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
    """Return the command or query of a text, or an error at the word at fault."""
    parsed = _parse_statement(text)
    if isinstance(parsed, errors.LanguageError):
        return parsed
    value = parsed.value
    if type(value) in checks.REGISTRY:
        problem = checks.find_problem(value)
        if problem is not None:
            expected = (problem.expected,)
            return _make_error_at_field(
                parsed, problem.field, problem.message, expected
            )
    return value


def point_at(text: str, field: str, message: str) -> errors.LanguageError:
    """Return an error at the word of a valid text that a field came from.

    This is for commands that only the configuration rejects, for instance a binding to
    a class that is not declared. For an unknown field the error points at the first
    word.
    """
    parsed = _parse_statement(text)
    if isinstance(parsed, errors.LanguageError):
        return parsed
    return _make_error_at_field(parsed, field, message, ())


def _parse_statement(text: str) -> builder.ParsedStatement | errors.LanguageError:
    if len(text) > TEXT_LIMIT_CHARACTERS:
        message = f"the text is longer than {TEXT_LIMIT_CHARACTERS} characters"
        return errors.LanguageError(
            1, TEXT_LIMIT_CHARACTERS + 1, 0, message, ("a shorter text",)
        )
    try:
        tree = PARSER.parse(text)
    except lark.UnexpectedInput as error:
        return _make_syntax_error(text, error)
    built = builder.build(tree)
    if isinstance(built, builder.SemanticError):
        return _make_error_at_token(text, built)
    return built


def _make_error_at_field(
    parsed: builder.ParsedStatement, field: str, message: str, expected: tuple[str, ...]
) -> errors.LanguageError:
    token = parsed.tokens.get(field)
    if token is None:
        return errors.LanguageError(1, 1, 0, message, expected)
    return errors.LanguageError(token.line, token.column, len(token), message, expected)


def _make_error_at_token(
    text: str, error: builder.SemanticError
) -> errors.LanguageError:
    token = error.token
    if token is None:
        line, column = _find_end(text)
        return errors.LanguageError(line, column, 0, error.message, error.expected)
    return errors.LanguageError(
        token.line, token.column, len(token), error.message, error.expected
    )


def _find_end(text: str) -> tuple[int, int]:
    lines = text.rstrip().split("\n")
    return len(lines), len(lines[-1]) + 1


def _make_syntax_error(text: str, error: lark.UnexpectedInput) -> errors.LanguageError:
    expected = _list_expected(error)
    expectation = " or ".join(expected)
    ended = isinstance(error, lark.UnexpectedToken) and error.token.type == END
    if ended or isinstance(error, lark.UnexpectedEOF):
        line, column = _find_end(text)
        message = f"the text ends, expected {expectation}"
        return errors.LanguageError(line, column, 0, message, expected)
    token = INVALID_WORD_PATTERN.match(text, error.pos_in_stream)[0]
    message = f"unexpected {token!r}, expected {expectation}{_suggest(token, expected)}"
    return errors.LanguageError(error.line, error.column, len(token), message, expected)


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


def _suggest(token: str, expected: tuple[str, ...]) -> str:
    close = difflib.get_close_matches(f"'{token}'", expected, n=1)
    return f"; did you mean {close[0]}?" if close else ""
