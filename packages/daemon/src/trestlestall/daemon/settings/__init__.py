"""The settings of a process: one JSON file, validated before anything starts.

``load`` returns the typed settings or all problems of the file, each with its path.
The subpackage only reads files: it doesn't import eventlet and opens no sockets, so
that the operator's client can run the same validation.

    loaded = settings.load(pathlib.Path("router.json"))
    if isinstance(loaded, list):
        for problem in loaded:
            print(problem)
"""

import pathlib

from trestlestall.daemon.settings import checks, document, model

Address = model.Address
Answers = model.Answers
Clients = model.Clients
ControlSettings = model.ControlSettings
DirectoryListen = model.DirectoryListen
DirectorySettings = model.DirectorySettings
Duties = model.Duties
GatewayListen = model.GatewayListen
GatewaySettings = model.GatewaySettings
Limits = model.Limits
Peer = model.Peer
Problem = model.Problem
Retries = model.Retries
RouterSettings = model.RouterSettings
Secrets = model.Secrets

ROLES = {
    "router": RouterSettings,
    "control": ControlSettings,
    "gateway": GatewaySettings,
    "directory": DirectorySettings,
}

Settings = RouterSettings | ControlSettings | GatewaySettings | DirectorySettings


def load(path: pathlib.Path | str) -> Settings | list[Problem]:
    """Return the settings in the file, or all of its problems.

    Paths in the file are relative to the file's folder; the returned settings contain
    them joined to that folder, and the secrets that were read from the secrets file.
    """
    path = pathlib.Path(path)
    loaded = document.read_object(path)
    if isinstance(loaded, Problem):
        return [loaded]
    role = loaded.get("role")
    if not isinstance(role, str) or role not in ROLES:
        names = ", ".join(f'"{name}"' for name in ROLES)
        return [Problem("role", f"give one of {names}")]
    reader = document.Reader()
    found = reader.read_class(ROLES[role], loaded, "")
    reader.problems += checks.find_problems(found, path.parent)
    if reader.problems:
        return reader.problems
    return checks.resolve_files(found, path.parent)
