"""The client's settings: the servers to call and the operator's key."""

import dataclasses
import pathlib

from trestlestall.daemon.settings import document, model, secrets

DEFAULT_FILE = "~/.config/trestlestall/client.json"
Problem = model.Problem


@dataclasses.dataclass(frozen=True)
class FileSettings:
    """The keys in the settings file; paths are relative to the file's folder."""

    servers: tuple[model.Address, ...]
    key_file: str
    timeout_seconds: float = 10.0


@dataclasses.dataclass(frozen=True)
class ClientSettings:
    """The settings of a call; the timeout is in seconds, for each server."""

    servers: tuple[model.Address, ...]
    key: str = dataclasses.field(repr=False)
    timeout_seconds: float


@dataclasses.dataclass(frozen=True)
class Flags:
    """The flags of a call; a flag that is given overrides the key in the file."""

    settings: str | None = None
    servers: str | None = None
    key_file: str | None = None


def load(flags: Flags) -> ClientSettings | list[Problem]:
    """Return the settings from the flags and the file, or all problems.

    The file is not read if the flags give the servers and the key file.
    """
    document_found, folder = _read_file(flags)
    if isinstance(document_found, Problem):
        return [document_found]
    reading = document.Reader()
    found = reading.read_class(FileSettings, document_found, "")
    problems = reading.problems + _check_values(found)
    key = _read_key(found, folder)
    if isinstance(key, list):
        problems += key
    if problems:
        return problems
    return ClientSettings(found.servers, key, found.timeout_seconds)


def _read_file(flags: Flags) -> tuple[dict | Problem, pathlib.Path]:
    """Return the document overridden by the flags, and the folder of its paths."""
    overrides = {}
    if flags.servers is not None:
        overrides["servers"] = flags.servers.split(",")
    if flags.key_file is not None:
        overrides["key_file"] = str(pathlib.Path(flags.key_file).absolute())
    if len(overrides) == 2 and flags.settings is None:
        return overrides, pathlib.Path()
    path = pathlib.Path(flags.settings or DEFAULT_FILE).expanduser()
    found = document.read_object(path)
    if isinstance(found, Problem):
        if flags.settings is None:
            found = Problem("", f"{found.message}; or give --servers and --key-file")
        return found, path.parent
    return found | overrides, path.parent


def _check_values(found: FileSettings) -> list[Problem]:
    """Return the problems of values that have the right type."""
    problems = []
    if found.servers == ():
        problems.append(Problem("servers", "name at least one"))
    timeout = found.timeout_seconds
    if not isinstance(timeout, document.Missing) and not timeout > 0:
        problems.append(Problem("timeout_seconds", "must be above 0"))
    return problems


def _read_key(found: FileSettings, folder: pathlib.Path) -> str | list[Problem]:
    """Return the key in the key file, which only its owner may access."""
    if isinstance(found.key_file, document.Missing):
        return []
    path = folder / found.key_file
    try:
        key = path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it isn't text"
        return [Problem("key_file", f"can't read {path}: {reason}")]
    problems = [
        Problem("key_file", problem.message) for problem in secrets.check_mode(path)
    ]
    if not key or not key.isascii() or not key.isprintable():
        problems.append(Problem("key_file", f"{path} must hold one line, the key"))
    return problems or key
