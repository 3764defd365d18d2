"""Validation of the settings as a whole, by checks that a decorator registers.

Each check gets the settings, in which invalid values are replaced by ``MISSING``, and
the folder of the settings file; it yields the problems that it finds. Checks skip
missing values, so that one invalid value doesn't hide other problems.
"""

import collections
import dataclasses
import ipaddress
import itertools
import os
import pathlib
from collections import abc

from trestlestall.daemon.settings import document, model, secrets
from trestlestall.forwarding import budgets

Settings = (
    model.RouterSettings
    | model.ControlSettings
    | model.GatewaySettings
    | model.DirectorySettings
)
Check = abc.Callable[[Settings, pathlib.Path], abc.Iterator[model.Problem]]

HIGHEST_VOTER_COUNT = 7
CHECKS: list[Check] = []


def register_check(check: Check) -> Check:
    """Register a check that runs on each settings file; a decorator."""
    CHECKS.append(check)
    return check


def find_problems(found: Settings, folder: pathlib.Path) -> list[model.Problem]:
    """Return the problems that the registered checks find in the settings."""
    return [problem for check in CHECKS for problem in check(found, folder)]


def resolve_files(found: Settings, folder: pathlib.Path) -> Settings:
    """Return the settings with paths joined to the folder and with the secrets."""
    secrets_file = folder / found.secrets_file
    resolved: dict[str, object] = {
        "secrets_file": str(secrets_file),
        "secrets": secrets.load(secrets_file),
    }
    if getattr(found, "data_folder", None):
        resolved["data_folder"] = str(folder / found.data_folder)
    return dataclasses.replace(found, **resolved)


def _list_listeners(found: Settings) -> dict[str, model.Address]:
    """Return the valid listening addresses by their key."""
    if isinstance(found.listen, document.Missing):
        return {}
    pairs = vars(found.listen).items()
    return {key: value for key, value in pairs if isinstance(value, model.Address)}


def _list_peers(found: Settings) -> list[tuple[int, model.Peer]]:
    """Return the valid peers with their index in the list."""
    if isinstance(getattr(found, "peers", document.MISSING), document.Missing):
        return []
    pairs = enumerate(found.peers)
    return [(index, peer) for index, peer in pairs if isinstance(peer, model.Peer)]


def _collide(one: model.Address, other: model.Address) -> bool:
    """Return whether a process can't listen on both; port 0 means any free port."""
    if one.port != other.port or one.port == 0:
        return False
    hosts = [ipaddress.ip_address(address.host) for address in (one, other)]
    return hosts[0] == hosts[1] or any(host.is_unspecified for host in hosts)


@register_check
def check_listeners(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """Two listeners must not use the same port of one host."""
    listeners = _list_listeners(found).items()
    for (one, first), (other, second) in itertools.combinations(listeners, 2):
        if _collide(first, second):
            message = f"{second} is already taken by listen.{one}"
            yield model.Problem(f"listen.{other}", message)


@register_check
def check_limits(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """Limits are above 0, since others would refuse every request."""
    for group in ("limits", "clients"):
        given = getattr(found, group, document.MISSING)
        if isinstance(given, document.Missing):
            continue
        for key, value in vars(given).items():
            if not isinstance(value, document.Missing) and not value > 0:
                yield model.Problem(f"{group}.{key}", "must be above 0")


@register_check
def check_peers(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """Names and addresses of peers are unique and not those of this process."""
    names = collections.Counter()
    addresses = collections.Counter()
    for index, peer in _list_peers(found):
        path = f"peers[{index}]"
        names[peer.name] += 1
        addresses[peer.address] += 1
        if peer.name == found.name:
            yield model.Problem(f"{path}.name", "is this process's own name")
        elif names[peer.name] == 2:
            yield model.Problem(f"{path}.name", f"{peer.name} is listed twice")
        if not isinstance(peer.address, model.Address):
            continue
        yield from _check_peer_address(found, peer.address, path)
        if addresses[peer.address] == 2:
            message = f"{peer.address} belongs to an earlier peer"
            yield model.Problem(f"{path}.address", message)


def _check_peer_address(
    found: Settings, address: model.Address, path: str
) -> abc.Iterator:
    """A peer's address can be connected to and is not one of this process."""
    if address.port == 0 or ipaddress.ip_address(address.host).is_unspecified:
        yield model.Problem(f"{path}.address", f"{address} can't be dialled")
    elif address in _list_listeners(found).values():
        yield model.Problem(f"{path}.address", "is this process's own address")


@register_check
def check_control_peers(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """A router needs a control process, from which it receives its configuration."""
    if not isinstance(found, model.RouterSettings):
        return
    if isinstance(found.peers, document.Missing):
        return
    if all(getattr(peer, "role", None) == "router" for peer in found.peers):
        message = (
            "list at least one control process; routers get the configuration there"
        )
        yield model.Problem("peers", message)


@register_check
def check_voters(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """The initial voters are named once each, and are this process or its peers."""
    if not isinstance(found, model.ControlSettings):
        return
    if isinstance(found.voters, document.Missing):
        return
    if not found.voters:
        yield model.Problem("voters", "name the first voters, at least one")
    if len(found.voters) > HIGHEST_VOTER_COUNT:
        yield model.Problem("voters", f"at most {HIGHEST_VOTER_COUNT} voters")
    known = {peer.name for _, peer in _list_peers(found) if peer.role == "control"}
    for index, voter in enumerate(found.voters):
        if isinstance(voter, document.Missing):
            continue
        if voter in found.voters[:index]:
            yield model.Problem(f"voters[{index}]", f"{voter} is named twice")
        elif voter != found.name and voter not in known:
            message = f"{voter} is neither this process nor a control process in peers"
            yield model.Problem(f"voters[{index}]", message)


@register_check
def check_data_folder(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """The data folder, if one is given, exists and is writable."""
    if not isinstance(getattr(found, "data_folder", None), str):
        return
    path = folder / found.data_folder
    if not path.is_dir():
        yield model.Problem("data_folder", f"no folder {path}; create it first")
    elif not os.access(path, os.R_OK | os.W_OK | os.X_OK):
        yield model.Problem("data_folder", f"this user can't write into {path}")


@register_check
def check_secrets(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """The secrets file exists, is valid and can't be accessed by other users."""
    if not isinstance(found.secrets_file, str):
        return
    loaded = secrets.load(folder / found.secrets_file)
    if isinstance(loaded, list):
        for problem in loaded:
            place = f" ({problem.path})" if problem.path else ""
            yield model.Problem(f"secrets_file{place}", problem.message)


@register_check
def check_directories(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """At least one directory is given, and the addresses can be connected to."""
    if not isinstance(found, model.GatewaySettings | model.DirectorySettings):
        return
    if isinstance(found.directories, document.Missing):
        return
    if not found.directories:
        yield model.Problem("directories", "name at least one directory")
    for index, address in enumerate(found.directories):
        if isinstance(address, document.Missing):
            continue
        if address.port == 0 or ipaddress.ip_address(address.host).is_unspecified:
            yield model.Problem(f"directories[{index}]", f"{address} can't be dialled")


@register_check
def check_gateway_bounds(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """The grace period of a gateway's planned stop is above 0."""
    if not isinstance(found, model.GatewaySettings):
        return
    seconds = found.grace_seconds
    if not isinstance(seconds, document.Missing) and not seconds > 0:
        yield model.Problem("grace_seconds", "must be above 0")


@register_check
def check_answers(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """A gateway holds some bytes of an answer, and of all together no fewer."""
    if not isinstance(found, model.GatewaySettings):
        return
    if isinstance(found.answers, document.Missing):
        return
    body, held = found.answers.body_bytes, found.answers.held_bytes
    if isinstance(body, document.Missing):
        return
    if not body > 0:
        yield model.Problem("answers.body_bytes", "must be above 0")
    if not isinstance(held, document.Missing) and held < body:
        yield model.Problem("answers.held_bytes", "must not be below body_bytes")


@register_check
def check_retries(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """The window of the retry budget is above 0 and at most the time that is stored."""
    if not isinstance(found, model.GatewaySettings | model.DirectorySettings):
        return
    if isinstance(found.retries, document.Missing):
        return
    seconds = found.retries.window_seconds
    if not isinstance(seconds, document.Missing) and not seconds > 0:
        yield model.Problem("retries.window_seconds", "must be above 0")
    longest = budgets.LONGEST_WINDOW
    if not isinstance(seconds, document.Missing) and seconds > longest:
        yield model.Problem("retries.window_seconds", f"at most {longest:g}")


@register_check
def check_duties(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """Times and rates of the duties are above 0, and the platform has a port."""
    if not isinstance(found, model.GatewaySettings | model.DirectorySettings):
        return
    duties = found.duties
    if isinstance(duties, document.Missing):
        return
    for key in ("lease_seconds", "window_seconds", "late_seconds", "calls_per_second"):
        value = getattr(duties, key)
        if not isinstance(value, document.Missing) and not value > 0:
            yield model.Problem(f"duties.{key}", "must be above 0")
    address = duties.platform
    if isinstance(address, model.Address) and address.port == 0:
        yield model.Problem("duties.platform", f"{address} can't be dialled")


@register_check
def check_document_bytes(found: Settings, folder: pathlib.Path) -> abc.Iterator:
    """A directory accepts documents of at least 1 byte."""
    if not isinstance(found, model.DirectorySettings):
        return
    size = found.document_bytes
    if not isinstance(size, document.Missing) and not size > 0:
        yield model.Problem("document_bytes", "must be above 0")
