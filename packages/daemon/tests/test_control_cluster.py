"""Control servers in one process, over simulated links that tests can partition."""

import contextlib
import io
import pathlib
import random
import tempfile
import types
import unittest
from unittest import mock

from trestlestall.daemon import environment, logs
from trestlestall.daemon.control import journal, server
from trestlestall.daemon.settings import model as settings
from trestlestall.storage import folder
from trestlestall.wire import codec, messages

NAMES = ("control-1", "control-2", "control-3")
STEP_SECONDS = 0.1
STEPS = 400


class Links:
    """The links of one process; frames go into the cluster's queue."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name

    def send(self, name, message):
        if name not in self.linked():
            return False
        self.cluster.frames.append((self.name, name, codec.encode(message)))
        return True

    def linked(self):
        return {name for name in self.cluster.inboxes if name != self.name}

    def is_control(self, name):
        return name.startswith("control-")

    def dial(self, name, address):
        self.cluster.dialled.append((self.name, name, address))


class Cluster:
    """Servers by name, routers as lists of received messages, and one clock."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.now = 100.0
        self.frames = []
        self.inboxes = {}
        self.servers = {}
        self.dialled = []
        self.partitioned = set()
        self.stopped_clocks = {}
        self.stack = {}

    def start(self, *names):
        for name in names or NAMES:
            self.stack[name] = contextlib.ExitStack()
            (self.path / name).mkdir(exist_ok=True)
            opened = folder.open_folder(self.path / name)
            data = self.stack[name].enter_context(opened)
            self.inboxes[name] = None
            self.servers[name] = self.build(name, data)
            for peer in list(self.servers):
                self.link(name, peer)

    def build(self, name, data):
        clock = environment.Clock(
            lambda: self.stopped_clocks.get(name, self.now), lambda: 1000.0 + self.now
        )
        stream = io.StringIO()
        source = random.Random(name)
        env = environment.Environment(stream, stream, stream, clock, source)
        log = logs.Log(stream, clock, name)
        return server.Server(
            settings.ControlSettings("control", name, "a", None, "", "", NAMES),
            env,
            log,
            journal.Journal(data),
            data.identity,
            Links(self, name),
            lambda: None,
        )

    def link(self, one, other):
        if one != other:
            self.servers[one].handle_link_change(other, True)
            self.servers[other].handle_link_change(one, True)

    def stop(self, *names):
        for name in names:
            self.stack.pop(name).close()
            del self.servers[name], self.inboxes[name]
            for peer in self.servers.values():
                peer.handle_link_change(name, False)

    def wipe(self, name):
        for file in (self.path / name).iterdir():
            file.unlink()

    def partition(self, *names):
        """Drop frames between these processes and all others; no names: drop none."""
        self.partitioned = set(names)

    def stop_clock(self, name):
        """Stop the clock of a process, as if it were far too slow."""
        self.stopped_clocks[name] = self.now

    def step(self):
        """Deliver the queued frames, advance the clock, and turn each server."""
        frames, self.frames = self.frames, []
        for sender, to, frame in frames:
            if (sender in self.partitioned) == (to in self.partitioned):
                self.deliver(sender, to, codec.decode(frame))
        self.now += STEP_SECONDS
        for one in self.servers.values():
            one.turn()

    def deliver(self, sender, to, message):
        if to in self.servers:
            self.servers[to].handle_message(sender, message)
        elif to in self.inboxes:
            self.inboxes[to].append(message)

    def run_until(self, done, steps=STEPS):
        """Step until the condition is true; return its value, falsy if it never was."""
        for _ in range(steps):
            found = done()
            if found:
                return found
            self.step()
        return done()

    def find_leader(self, names=NAMES):
        leading = [
            name
            for name in names
            if name in self.servers
            and self.servers[name].voter is not None
            and self.servers[name].voter.leads
        ]
        return leading[0] if len(leading) == 1 else None

    def elect(self, names=NAMES):
        leader = self.run_until(lambda: self.find_leader(names))
        assert leader, "no leader was elected"
        return leader

    def operate(self, name, text, request_id, number=None):
        """Send an operator's text; step until the reply and return its body."""
        replies = []
        document = types.MappingProxyType(
            {"text": text, "request_id": request_id, "number": number}
        )
        document = {**document, "operator": "alice", "dry_run": False}
        self.servers[name].open_call("operate", document, replies.append)
        self.run_until(lambda: replies)
        return replies[0]["body"]

    def add_router(self, name):
        self.inboxes[name] = []
        for one in self.servers.values():
            one.handle_link_change(name, True)
        return self.inboxes[name]

    def send_from_router(self, router, to, message):
        self.frames.append((router, to, codec.encode(message)))


class ClusterTest(unittest.TestCase):
    """Tests are deterministic: the identities of disks are drawn from a seed.

    An identity is part of the voter's name, which seeds its election timeouts.
    """

    def setUp(self):
        self.draw_identities(0)
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.cluster = Cluster(pathlib.Path(holder.name))
        self.addCleanup(self.close)

    def draw_identities(self, seed):
        """Draw the identities of disks that are created from now on from this seed."""
        source = random.Random(seed)
        drawn = mock.patch.object(
            folder.secrets, "token_hex", lambda size: source.randbytes(size).hex()
        )
        drawn.start()
        self.addCleanup(drawn.stop)

    def close(self):
        for stack in self.cluster.stack.values():
            stack.close()

    def accept(self, number, name=None):
        name = name or self.cluster.elect()
        body = self.cluster.operate(name, f"drain upstream u{number}", f"r{number}")
        self.assertEqual(body["outcome"], {"kind": "accepted", "version": number})


class BootstrapTest(ClusterTest):
    def test_no_group_before_all_identities_are_known(self):
        self.cluster.start("control-1", "control-2")
        formed = self.cluster.run_until(
            lambda: any(one.voter for one in self.cluster.servers.values())
        )
        self.assertFalse(formed)
        self.cluster.start("control-3")
        self.accept(1)

    def test_wiped_process_forms_no_second_group(self):
        """The wiped process has the lowest name: the one that formed the group."""
        self.cluster.start()
        self.accept(1)
        first = self.cluster.servers["control-2"].voter.node.voters
        self.cluster.stop("control-1")
        self.cluster.wipe("control-1")
        self.cluster.start("control-1")
        self.accept(2, self.cluster.elect(NAMES[1:]))
        wiped = self.cluster.servers["control-1"]
        self.assertNotIn(wiped.own, first)
        self.assertEqual(wiped.voter.node.voters, ())
        self.assertFalse(wiped.voter.leads)
        # Messages from the leader to the lost disk are dropped by the new one.
        self.assertIsNone(wiped.voter.node.leader)

    def test_group_is_durable_before_any_entry(self):
        self.cluster.start()
        self.cluster.run_until(
            lambda: all(one.voter for one in self.cluster.servers.values())
        )
        owns = [one.own for one in self.cluster.servers.values()]
        self.cluster.stop(*NAMES)
        self.cluster.start("control-2", "control-3")
        self.accept(1)
        voters = self.cluster.servers["control-2"].voter.node.voters
        self.assertEqual(voters, tuple(owns))

    def test_late_process_learns_the_group_from_the_others(self):
        self.cluster.start()
        for one in self.cluster.servers.values():
            one.turn()
        self.cluster.frames = [
            frame for frame in self.cluster.frames if frame[1] != "control-3"
        ]
        self.accept(1)
        joined = self.cluster.run_until(
            lambda: (
                self.cluster.servers["control-3"].voter
                and self.cluster.servers["control-3"].voter.machine.version == 1
            )
        )
        self.assertTrue(joined)


class RouterTest(ClusterTest):
    def list_updates(self, inbox):
        kinds = (messages.ConfigurationFull, messages.ConfigurationDelta)
        return [message for message in inbox if isinstance(message, kinds)]

    def test_router_without_a_version_gets_no_push_but_pulls(self):
        self.cluster.start()
        self.accept(1)
        inbox = self.cluster.add_router("router-1")
        self.assertFalse(self.cluster.run_until(lambda: inbox, steps=50))
        self.cluster.send_from_router(
            "router-1", "control-2", messages.ConfigurationPull(0)
        )
        found = self.cluster.run_until(lambda: self.list_updates(inbox))
        self.assertEqual([message.version for message in found], [1])
        self.cluster.send_from_router(
            "router-1", "control-3", messages.ConfigurationPull(1)
        )
        self.cluster.run_until(lambda: len(self.list_updates(inbox)) == 2)
        newest = messages.ConfigurationDelta(1, 1, ())
        self.assertEqual(self.list_updates(inbox)[1], newest)
        leader = self.cluster.elect()
        redirects = {
            m.fields["leader"] for m in inbox if m not in self.list_updates(inbox)
        }
        self.assertEqual(redirects, {leader})

    def test_pull_is_not_answered_by_a_partitioned_leader(self):
        self.cluster.start()
        self.accept(1)
        former = self.cluster.elect()
        inbox = self.cluster.add_router("router-1")
        self.cluster.partition(former, "router-1")
        self.cluster.send_from_router("router-1", former, messages.ConfigurationPull(0))
        self.accept(2, self.cluster.elect([n for n in NAMES if n != former]))
        self.assertEqual(inbox, [])

    def test_push_is_resent_until_acknowledged_and_is_a_delta(self):
        self.cluster.start()
        leader = self.cluster.elect()
        self.accept(1)
        inbox = self.cluster.add_router("router-1")
        for name in NAMES:
            ack = messages.ConfigurationAck("router-1", 1)
            self.cluster.send_from_router("router-1", name, ack)
        self.cluster.step()
        self.accept(2, leader)
        self.assertTrue(self.cluster.run_until(lambda: len(inbox) >= 4))
        kinds = {type(message) for message in inbox}
        self.assertEqual(kinds, {messages.ConfigurationDelta})
        self.assertEqual({(m.since, m.version) for m in inbox}, {(1, 2)})
        for name in NAMES:
            ack = messages.ConfigurationAck("router-1", 2)
            self.cluster.send_from_router("router-1", name, ack)
        self.cluster.step()
        del inbox[:]
        self.assertFalse(self.cluster.run_until(lambda: inbox, steps=50))
        rows = self.cluster.servers[leader].describe()["routers"]
        self.assertEqual([row["lags"] for row in rows], [False])

    def test_lookup_is_confirmed_by_a_quorum_and_writes_no_entry(self):
        self.cluster.start()
        leader = self.cluster.elect()
        inbox = self.cluster.add_router("router-1")
        fields = {"workspace": "w", "key": "k", "fingerprint": "f", "attempt": "a"}
        lookup = messages.ClaimCall(1, "look", fields)
        claim = messages.ClaimCall(2, "claim", {**fields, "router": "r"})
        kinds, entries = [], []
        for call in (lookup, claim, lookup):
            self.cluster.send_from_router("router-1", leader, call)
            self.cluster.run_until(lambda: inbox)
            kinds.append(inbox.pop().kind)
            entries.append(self.cluster.servers[leader].voter.node.commit_index)
        self.assertEqual(kinds, ["absent", "granted", "held"])
        self.assertEqual(entries, [entries[0], entries[0] + 1, entries[0] + 1])
        self.cluster.partition(leader, "router-1")
        self.cluster.send_from_router("router-1", leader, lookup)
        self.assertFalse(self.cluster.run_until(lambda: inbox, steps=100))

    def test_router_that_is_partitioned_from_the_leader_alone(self):
        """Only the leader pushes; another process forwards the router's pull to it."""
        self.cluster.start()
        leader = self.cluster.elect()
        follower = next(name for name in NAMES if name != leader)
        self.accept(1)
        inbox = self.cluster.add_router("router-1")
        for name in NAMES:
            ack = messages.ConfigurationAck("router-1", 1)
            self.cluster.send_from_router("router-1", name, ack)
        self.cluster.step()
        self.cluster.servers[leader].handle_link_change("router-1", False)
        self.accept(2, leader)
        self.assertFalse(self.cluster.run_until(lambda: inbox, steps=50))
        self.cluster.send_from_router(
            "router-1", follower, messages.ConfigurationPull(1)
        )
        found = self.cluster.run_until(lambda: self.list_updates(inbox), steps=20)
        self.assertEqual([(one.since, one.version) for one in found], [(1, 2)])

    def test_claim_reaches_the_leader_from_any_control_process(self):
        self.cluster.start()
        leader = self.cluster.elect()
        self.cluster.run_until(
            lambda: all(o.leader == leader for o in self.cluster.servers.values())
        )
        inbox = self.cluster.add_router("router-1")
        fields = {"workspace": "w", "key": "k", "fingerprint": "f", "router": "r"}
        kinds = []
        for token, name in enumerate(sorted(NAMES, key=leader.__eq__)):
            call = messages.ClaimCall(token, "claim", {**fields, "attempt": name})
            for _ in range(1 if name == leader else 2):
                self.cluster.send_from_router("router-1", name, call)
                self.cluster.run_until(lambda: inbox)
                kinds.append(inbox.pop().kind)
        redirected = ["not_leader", "granted", "not_leader", "held"]
        self.assertEqual(kinds, [*redirected, "held"])
        self.cluster.partition(leader, "router-1")
        call = messages.ClaimCall(9, "claim", {**fields, "attempt": "x", "key": "k2"})
        self.cluster.send_from_router("router-1", leader, call)
        self.assertFalse(self.cluster.run_until(lambda: inbox, steps=100))
