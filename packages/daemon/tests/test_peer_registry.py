"""How a directory names peers to gateways that can't reach upstreams."""

from packages.daemon.tests import test_directory
from trestlestall.wire import tunnel_messages


class PeerRegistryTest(test_directory.DirectoryCase):
    def setUp(self):
        super().setUp()
        self.links.gateways = ["a-1", "a-2", "b-1"]

    def offer(self, name, *lost, address=None):
        """Deliver a gateway's offer."""
        address = f"{name}:1" if address is None else address
        self.server.handle_message(name, tunnel_messages.PeerOffer(address, lost))

    def ask(self, name, *lost):
        """Return the peers that are named to a gateway, and what they have lost."""
        self.server.handle_message(name, tunnel_messages.PeersCall(lost))
        return self.find_named(name)

    def find_named(self, name):
        """Return the peers that a gateway was named last, and what they have lost."""
        answer = self.links.find(tunnel_messages.PeersAnswer, name)[-1]
        return [(row[0], row[3]) for row in answer.peers]

    def test_gateways_learn_of_each_other_and_of_what_each_has_lost(self):
        self.offer("a-1", "u1", "u2")
        self.offer("a-2", "u1")
        self.offer("b-1")
        found = self.ask("a-1", "u1", "u2")
        self.assertEqual(found, [("b-1", []), ("a-2", ["u1"])])

    def test_one_that_leaves_or_opens_no_tunnels_is_not_named(self):
        for name in ("a-2", "b-1"):
            self.offer(name)
        self.offer("a-2", address="")
        self.server.handle_link_change("b-1", False)
        self.assertEqual(self.ask("a-1"), [])

    def test_one_that_was_linked_first_is_told_of_those_that_come_later(self):
        self.offer("a-1")
        self.assertEqual(self.ask("a-1", "u1"), [])
        self.offer("a-2")
        self.offer("b-1", "u1")
        self.assertEqual(self.find_named("a-1"), [("a-2", []), ("b-1", ["u1"])])
        told = len(self.links.find(tunnel_messages.PeersAnswer, "a-1"))
        self.offer("b-1", "u1", "u2")
        self.server.handle_link_change("a-1", False)
        self.offer("c-1")
        answers = self.links.find(tunnel_messages.PeersAnswer, "a-1")
        self.assertEqual(len(answers), told)
