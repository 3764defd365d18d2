"""Cuts directories of a deployment from each other, pair by pair, and from gateways."""

import json

from tests import cut_links, gateways

ELECTED = '"leader_elected"'


class Cuts:
    """The links of all processes of a deployment to its directories.

    Gateways ask the linked directory with the lowest address: the first of ``ordered``.
    """

    def __init__(self, system, stack):
        self.system = system
        names = (*system.names, *system.gateways)
        opened = cut_links.open_links(system.folder, names)
        self.links = stack.enter_context(opened)
        self.addresses = {
            name: f"{gateways.HOST}:{port}" for name, port in system.links.items()
        }
        for name, links in self.links.items():
            for directory, address in self.addresses.items():
                if directory != name:
                    links.add(address)
        self.ordered = sorted(system.names, key=self.addresses.get)
        system.hosts.update(self.links)

    def cut_gateways(self, names):
        """Cut gateways from the first directory, so that they ask the second one."""
        for name in names:
            self.links[name].cut("reset", [self.addresses[self.ordered[0]]])

    def cut_pair(self, way):
        """Cut the first two directories from each other; both reach the third."""
        first, second = self.ordered[:2]
        self.links[first].cut(way, [self.addresses[second]])
        self.links[second].cut(way, [self.addresses[first]])

    def make_leader(self, wanted):
        """Restart leaders until this directory leads."""
        while (leader := self.find_leader()) != wanted:
            self.system.running[leader].kill()
            gateways.wait_until(lambda old=leader: self.find_leader() != old, "lead")
            self.system.start_directory(leader)

    def find_leader(self):
        """Return the directory that was elected last, of those that run."""
        terms = {
            name: self.count_terms(name)
            for name in self.system.names
            if self.system.running[name].running
        }
        return max(terms, key=terms.get)

    def count_terms(self, name):
        """Return the last term that a directory was elected for; 0 for none."""
        log = self.system.running[name].read_log()
        elected = (json.loads(line) for line in log.splitlines() if ELECTED in line)
        return max((line["term"] for line in elected), default=0)
