"""Each rule of the protocol, tested by one message to a node in a known state."""

import unittest

from packages.agreement.tests import group
from trestlestall.agreement import (
    actions,
    entries,
    events,
    messages,
    node,
    state,
    timing,
)

VOTERS = ("a", "b", "c")
LOG = tuple(entries.Entry(n, 1 + n // 3, entries.COMMAND, b"x") for n in range(1, 6))
COMPACTED = entries.Snapshot(3, 2, VOTERS, b"state")
APPEND = messages.AppendRequest
COVERED = messages.InstallRequest(3, 2, 1, VOTERS, 1, 0, b"s", 7)
REPORT = actions.TimingAdapted
REJECTED = messages.AppendResponse(3, False, 0, 0)


def make_node(snapshot=None, name="b"):
    """Return a node in term 3 whose log has the terms 1, 1, 2, 2, 2."""
    restored = entries.Restored(entries.Vote(3), snapshot, LOG)
    raft_node = node.Node(name, VOTERS, group.TIMING, 1, restored, group.LIMITS)
    raft_node.handle(events.Tick(), 0.0)
    return raft_node


def answer(raft_node, message, now=0.0):
    """Return the node's response to the message from ``a``."""
    emitted = raft_node.handle(events.Receive("a", message), now)
    return next(action.message for action in emitted if hasattr(action, "message"))


class FollowerRulesTest(unittest.TestCase):
    def test_requests_of_leaders(self):
        matched, refused = messages.AppendResponse, messages.AppendResponse
        newer = (entries.Entry(4, 3, entries.COMMAND, b"y"),)
        install = messages.InstallRequest(2, 9, 2, VOTERS, 1, 0, b"s", 7)
        table = (
            ("a former term", None, APPEND(2, 3, 2, newer, 5, 7), REJECTED, 5),
            ("a former term's snapshot", None, install, REJECTED, 5),
            ("a heartbeat", None, APPEND(3, 5, 2, (), 0, 7), matched(3, True, 5, 7), 5),
            (
                "duplicate",
                None,
                APPEND(3, 3, 2, LOG[3:], 0, 7),
                matched(3, True, 5, 7),
                5,
            ),
            ("late", None, APPEND(3, 3, 2, LOG[3:4], 0, 7), matched(3, True, 4, 7), 5),
            ("differs", None, APPEND(3, 3, 2, newer, 0, 7), matched(3, True, 4, 7), 4),
            ("gap", None, APPEND(3, 8, 3, (), 0, 7), refused(3, False, 5, 7, 8, 2), 5),
            (
                "other",
                None,
                APPEND(3, 4, 1, (), 0, 7),
                refused(3, False, 2, 7, 4, 1),
                5,
            ),
            ("covered", COMPACTED, COVERED, matched(3, True, 3, 7), 5),
            (
                "compacted",
                COMPACTED,
                APPEND(3, 1, 1, (), 0, 7),
                matched(3, True, 3, 7),
                5,
            ),
        )
        for name, snapshot, request, expected, last_index in table:
            with self.subTest(name):
                raft_node = make_node(snapshot)
                self.assertEqual(answer(raft_node, request), expected)
                self.assertEqual(raft_node.last_index, last_index)

    def test_only_matched_entries_are_committed(self):
        raft_node = make_node()
        answer(raft_node, APPEND(3, 2, 1, LOG[2:3], 5, 0))
        self.assertEqual(raft_node.commit_index, 3)

    def test_votes(self):
        """The node's log ends at entry 5 of term 2.

        Cases with ``has_leader_contact`` have received a heartbeat of a leader before.
        """
        pre, vote = messages.PreVoteRequest, messages.VoteRequest
        table = (
            ("log as ours", pre(4, 5, 2), False, True, 3),
            ("shorter log", pre(4, 4, 2), False, False, 3),
            ("older log", pre(4, 9, 1), False, False, 3),
            ("this term", pre(3, 5, 2), False, False, 3),
            ("recent leader contact", pre(4, 5, 2), True, False, 3),
            ("log as ours", vote(4, 5, 2), False, True, 4),
            ("shorter log", vote(4, 4, 2), False, False, 4),
            ("older log", vote(4, 9, 1), False, False, 4),
            ("former term", vote(2, 9, 3), False, False, 3),
            ("recent leader contact", vote(4, 5, 2), True, False, 3),
        )
        for name, request, has_leader_contact, granted, term in table:
            with self.subTest(name, request=request):
                raft_node = make_node()
                if has_leader_contact:
                    answer(raft_node, APPEND(3, 5, 2, (), 0, 0))
                self.assertIs(answer(raft_node, request, 0.9).granted, granted)
                self.assertEqual(raft_node.term, term)


class FirstElectionTest(unittest.TestCase):
    TIMING = timing.Timing(election=1.0, heartbeat=0.25, first_election=0.1)

    def count_asked(self, raft_node, since, seconds):
        """Return how many pre-vote requests the node sends."""
        asked = 0
        for step in range(int(seconds * 100)):
            for action in raft_node.handle(events.Tick(), since + step / 100):
                message = getattr(action, "message", None)
                asked += isinstance(message, messages.PreVoteRequest)
        return asked

    def test_short_election_timeout_until_a_leader_is_known(self):
        restored = entries.Restored(entries.Vote(3), None, LOG)
        raft_node = node.Node("b", VOTERS, self.TIMING, 1, restored, group.LIMITS)
        # Each pre-vote goes to two other voters, after 0.1 s to 0.2 s.
        self.assertGreaterEqual(self.count_asked(raft_node, 0.0, 1.0), 2 * 4)
        answer(raft_node, APPEND(3, 5, 2, (), 0, 7), now=1.0)
        self.assertEqual(self.count_asked(raft_node, 1.0, 0.9), 0)
        self.assertLessEqual(self.count_asked(raft_node, 1.9, 2.0), 2 * 3)


class LeaderRulesTest(unittest.TestCase):
    def test_no_commit_before_an_entry_of_this_term(self):
        """Before it no earlier entry commits, no voters change and no read is ready."""
        raft_node = make_node(COMPACTED, "a")
        for now in (0.9, 1.8, 2.5):
            raft_node.handle(events.Tick(), now)
        for granted in (messages.PreVoteResponse(4, True), messages.VoteResponse(4, 1)):
            raft_node.handle(events.Receive("b", granted), 2.5)
        self.assertIs(raft_node.role, state.Role.LEADER)
        raft_node.handle(events.ChangeVoters("t", remove="c"), 2.5)
        raft_node.handle(events.Read("r"), 2.5)
        table = ((3, 6, 3, VOTERS), (4, 5, 3, VOTERS), (4, 6, 6, ("a", "b")))
        for term, match, commit, voters in table:
            matched = messages.AppendResponse(term, True, match, 9)
            emitted = raft_node.handle(events.Receive("b", matched), 2.5)
            self.assertEqual(
                (raft_node.commit_index, raft_node.voters), (commit, voters)
            )
            self.assertIs(actions.ReadReady("r", 6) in emitted, commit == 6)
        late = messages.AppendResponse(4, False, 2, 9, prev_index=5, hint_term=1)
        self.assertEqual(raft_node.handle(events.Receive("b", late), 2.5), [])


class TimingTest(unittest.TestCase):
    def test_slow_syncs_lengthen_the_election_timeout(self):
        slow = 2 * group.TIMING.election
        heartbeat = events.Receive("a", APPEND(3, 5, 2, (), 0, 7))
        for sync_seconds, is_waiting in ((0.0, False), (slow, True)):
            with self.subTest(sync_seconds):
                raft_node = make_node()
                raft_node.adapt_timing(sync_seconds)
                emitted = raft_node.handle(heartbeat, 0.1)
                found = [one for one in emitted if isinstance(one, REPORT)]
                self.assertEqual([one.sync for one in found], [slow] * is_waiting)
                for now in (0.9, 1.8, 0.1 + slow):
                    raft_node.handle(events.Tick(), now)
                follows = raft_node.role is state.Role.FOLLOWER
                self.assertEqual(follows, is_waiting)

    def test_a_change_is_reported_once(self):
        raft_node = make_node()
        for sync_seconds in (5.0, 5.0, 4.9, 0.0, 0.0):
            raft_node.adapt_timing(sync_seconds)
        emitted = raft_node.handle(events.Tick(), 0.0)
        found = [one.sync for one in emitted if isinstance(one, REPORT)]
        self.assertEqual(found, [5.0, 0.0])


if __name__ == "__main__":
    unittest.main()
