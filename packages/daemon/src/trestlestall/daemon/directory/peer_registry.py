"""Names gateways that reach upstreams to gateways that don't, at a directory.

Each gateway tells every directory where it opens tunnels and which upstreams it can't
connect to, and asks for peers when it needs them. So gateways need no links with each
other and probe nobody, and a directory that starts learns all with the links. One that
could be named only a few is told of others as soon as they are linked.
"""

from trestlestall.daemon.directory import links as directory_links
from trestlestall.forwarding import peer_choice
from trestlestall.wire import tunnel_messages


class PeerRegistry:
    """The offers of the linked gateways."""

    def __init__(self, links: directory_links.Links) -> None:
        self._links = links
        self._offers: dict[str, peer_choice.Offer] = {}
        #: The calls of gateways that were named fewer peers than others are.
        self._waiting: dict[str, tunnel_messages.PeersCall] = {}

    def record_offer(self, gateway: str, message: tunnel_messages.PeerOffer) -> None:
        """Record where a gateway opens tunnels, and what it can't reach."""
        if not message.address:
            self._offers.pop(gateway, None)
            return
        is_new = gateway not in self._offers
        self._offers[gateway] = peer_choice.Offer(
            gateway,
            message.address,
            self._links.find_data_centre(gateway),
            frozenset(message.unreachable),
        )
        if is_new:
            for waiting, call in list(self._waiting.items()):
                self.answer(waiting, call)

    def remove(self, gateway: str) -> None:
        """Forget a gateway that is no longer linked."""
        self._offers.pop(gateway, None)
        self._waiting.pop(gateway, None)

    def answer(self, gateway: str, call: tunnel_messages.PeersCall) -> None:
        """Send a gateway the peers that may reach what it has lost."""
        lost = frozenset(call.lost)
        data_centre = self._links.find_data_centre(gateway)
        named = peer_choice.choose(self._offers.values(), gateway, data_centre, lost)
        self._waiting.pop(gateway, None)
        if len(named) < peer_choice.PEERS_NAMED:
            self._waiting[gateway] = call
        rows = tuple(
            [one.name, one.address, one.data_centre, sorted(one.unreachable & lost)]
            for one in named
        )
        self._links.send(gateway, tunnel_messages.PeersAnswer(rows))
