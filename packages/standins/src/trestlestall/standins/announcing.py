"""Client for announcing an upstream: announce, renew the lease, leave.

The stand-in has a list of hosts. It uses one of them, and fails over to the next when
that one rejects a call, fails or does not answer. A renewal answered with 404 means
that the host does not know the upstream, or has expired it: it is announced again.
"""

import dataclasses
import json
import typing
from collections import abc

import eventlet
import urllib3

from trestlestall.standins import addresses, programs

DEFAULT_LEASE_SECONDS = 3.0
RENEWALS_PER_LEASE = 3
TIMEOUT = urllib3.Timeout(connect=1.0, read=2.0)
RETRY_DELAY_SECONDS = 0.2
CAPABILITIES = ("priorities", "cancel", "resume", "kv_transfer", "checks_fencing")


@dataclasses.dataclass(frozen=True)
class Upstream:
    """The constant part of an announcement; ``kind`` is ``engine`` or ``service``."""

    name: str
    incarnation: int
    data_centre: str
    address: str
    kind: str
    slots: int
    capabilities: dict[str, bool]


class Announcer:
    """Keeps one upstream announced at one of the hosts.

    ``describe`` returns the current models, adapters and load report; while ``is_mute``
    returns true, a fault suppresses all calls. ``log`` writes an event.
    """

    def __init__(
        self,
        upstream: Upstream,
        hosts: tuple[addresses.Address, ...],
        secret: str,
        describe: abc.Callable[[], dict],
        is_mute: abc.Callable[[], bool] = lambda: False,
        log: abc.Callable[..., None] = programs.print_line,
    ):
        self._upstream = upstream
        self._hosts = hosts
        self._describe = describe
        self._is_mute = is_mute
        self._log = log
        self._next_host = 0
        self._announced = False
        self._left = False
        self._lease = DEFAULT_LEASE_SECONDS
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=TIMEOUT,
            headers={"Authorization": f"Bearer {secret}"},
        )

    def run(self) -> None:
        """Announce and renew until ``leave``; to be run in a greenlet of its own."""
        while self._hosts and not self._left:
            eventlet.sleep(self._renew_or_announce())

    def _renew_or_announce(self) -> float:
        """Announce or renew once; return the seconds until the next call."""
        if self._is_mute():
            return RETRY_DELAY_SECONDS
        done = self._renew() if self._announced else self._announce()
        return self._lease / RENEWALS_PER_LEASE if done else RETRY_DELAY_SECONDS

    def _announce(self) -> bool:
        document = {**dataclasses.asdict(self._upstream), **self._describe()}
        status, answer = self._post("announce", document)
        self._announced = status == 200
        if not self._announced:
            self._next_host += 1
            return False
        self._lease = float(answer.get("lease_seconds", DEFAULT_LEASE_SECONDS))
        self._log(event="announced", to=str(self._host))
        return True

    def _renew(self) -> bool:
        document = {**self._identify(), "report": self._describe()["report"]}
        status, _ = self._post("renew", document)
        if status == 200:
            return True
        self._announced = False
        if status != 404:
            self._next_host += 1
        return False

    def leave(self) -> None:
        """Notify the host that the upstream accepts no new work from now on."""
        self._left = True
        if self._announced:
            self._post("leave", self._identify())

    def announce_again(self) -> None:
        """Announce at the next call, because models or roles changed."""
        self._announced = False

    @property
    def _host(self) -> addresses.Address:
        return self._hosts[self._next_host % len(self._hosts)]

    def _identify(self) -> dict[str, typing.Any]:
        return {
            "name": self._upstream.name,
            "incarnation": self._upstream.incarnation,
        }

    def _post(self, action: str, document: dict) -> tuple[int, dict]:
        """Return the status and the JSON response; status 0 if there was none."""
        url = f"http://{self._host}/v1/upstreams/{action}"
        try:
            answer = self._pool.request("POST", url, json=document, redirect=False)
        except urllib3.exceptions.HTTPError as error:
            self._log(event="unreachable", to=url, error=type(error).__name__)
            return 0, {}
        if answer.status != 200:
            text = answer.data.decode(errors="replace")[:500]
            self._log(event="rejected", to=url, status=answer.status, text=text)
        return answer.status, read_object(answer.data)


def read_object(data: bytes) -> dict:
    """Return the JSON object of a response, or an empty one."""
    try:
        document = json.loads(data or b"{}")
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
