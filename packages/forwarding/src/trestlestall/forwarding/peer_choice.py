"""Chooses the peers through which a gateway may reach upstreams; pure."""

import dataclasses
import hashlib
from collections import abc

#: Peers that a gateway is named: enough that some reach what it lost, few enough that
#: it soon knows all of them.
PEERS_NAMED = 4


@dataclasses.dataclass(frozen=True)
class Offer:
    """A gateway that opens tunnels; ``unreachable`` are upstreams that it has lost."""

    name: str
    address: str
    data_centre: str
    unreachable: frozenset[str] = frozenset()


def choose(
    offers: abc.Iterable[Offer], asker: str, data_centre: str, lost: abc.Set[str]
) -> list[Offer]:
    """Return the peers for a gateway in a data centre, the best first.

    Those come first that reach most of what it has lost, then those that have lost
    nothing else, then those in its data centre; among equal ones each gateway is named
    others. One of them is in another data centre if there is any, since a whole data
    centre may be partitioned before its gateways have noticed.
    """

    def rank(offer: Offer) -> tuple:
        common = len(offer.unreachable & lost)
        is_remote = offer.data_centre != data_centre
        key = compute_hash(asker, offer.name)
        return common, bool(offer.unreachable), is_remote, key

    ranked = sorted((one for one in offers if one.name != asker), key=rank)
    named = ranked[:PEERS_NAMED]
    if all(one.data_centre == data_centre for one in named):
        remote = [one for one in ranked if one.data_centre != data_centre]
        named = named[: PEERS_NAMED - 1] + remote[:1] if remote else named
    return named


def compute_hash(asker: str, name: str) -> bytes:
    """Return a hash by which each gateway ranks equal peers in an order of its own."""
    return hashlib.blake2b(f"{asker}/{name}".encode(), digest_size=8).digest()
