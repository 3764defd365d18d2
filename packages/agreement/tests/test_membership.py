"""Changes of the voters, one at a time, with learners and lost disks."""

import unittest

from packages.agreement.tests import group
from trestlestall.agreement import (
    actions,
    codes,
    events,
    membership,
    messages,
    progress,
    state,
)

THREE = ("a#1", "b#1", "c#1")


class MembershipTest(unittest.TestCase):
    def make_group(self, voters=THREE, spare=()):
        made = group.Group(voters, spare)
        made.elect("a#1")
        made.run(1.0)
        return made

    def change(self, made, token, name="a#1", **change):
        made.step(name, events.ChangeVoters(token, **change))

    def test_refusals(self):
        table = (
            ("both", dict(add="d#1", remove="b#1"), codes.ONE_AT_A_TIME),
            ("neither", {}, codes.ONE_AT_A_TIME),
            ("already", dict(add="b#1"), codes.ALREADY_VOTER),
            ("unknown", dict(remove="z#1"), codes.NOT_VOTER),
        )
        made = self.make_group()
        for name, change, code in table:
            with self.subTest(name):
                self.change(made, name, **change)
                self.assertEqual(made.answers[name], actions.Refused(code))
        self.change(made, "elsewhere", "b#1", add="d#1")
        self.assertEqual(made.answers["elsewhere"], actions.NotLeader("a#1"))
        alone = self.make_group(("a#1",))
        self.change(alone, "last", remove="a#1")
        self.assertEqual(alone.answers["last"], actions.Refused(codes.LAST_VOTER))

    def test_one_change_in_flight(self):
        made = self.make_group(spare=("d#1", "e#1"))
        made.hosts["d#1"].frozen = True
        self.change(made, "first", add="d#1")
        made.run(1.0)
        self.change(made, "second", add="e#1")
        refused = actions.Refused(codes.CHANGE_IN_FLIGHT)
        self.assertEqual(made.answers["second"], refused)
        made.thaw("d#1")
        made.run(2.0)
        self.assertIsInstance(made.answers["first"], actions.Committed)
        self.change(made, "third", add="e#1")
        made.run(2.0)
        self.assertEqual(made.hosts["b#1"].node.voters, (*THREE, "d#1", "e#1"))

    def test_a_change_that_a_former_leader_left_uncommitted_is_in_flight(self):
        made = self.make_group()
        self.change(made, "left", remove="c#1")
        request = next(m for _, _, to, m in made.queue if to == "b#1")
        made.step("b#1", events.Receive("a#1", request))
        made.hosts["a#1"].crash()
        waits = made.hosts["b#1"].node
        made.run_until(lambda: waits.role is state.Role.PRE_CANDIDATE)
        grant = messages.PreVoteResponse(2, True)
        made.step("b#1", events.Receive("a#1", grant))
        made.step("b#1", events.Receive("a#1", messages.VoteResponse(2, True)))
        self.assertTrue(made.hosts["b#1"].leads)
        self.change(made, "next", "b#1", remove="a#1")
        refused = actions.Refused(codes.CHANGE_IN_FLIGHT)
        self.assertEqual(made.answers["next"], refused)

    def test_a_learner_does_not_count_before_it_has_caught_up(self):
        """It answers every round and holds the newest entry, but not yet the target."""
        made = self.make_group(("a#1", "b#1"), spare=("d#1",))
        made.cut = frozenset({"a#1"})
        made.propose("a#1", "p")
        self.change(made, "add", add="d#1")
        made.read("a#1", "r")
        target = made.hosts["a#1"].node.last_index
        answer = messages.AppendResponse(1, True, target - 1, 99)
        for _ in range(8):
            made.run(0.1)
            made.step("a#1", events.Receive("d#1", answer))
        self.assertEqual(made.hosts["a#1"].node.learner, "d#1")
        self.assertEqual(made.hosts["a#1"].node.voters, ("a#1", "b#1"))
        self.assertFalse({"p", "r"} & set(made.answers))
        made.run(0.5)
        self.assertEqual(made.answers["p"], actions.Lost())
        self.assertEqual(made.answers["add"], actions.NotLeader(None))

    def test_a_learner_that_needs_a_long_round_goes_through_another(self):
        """The log ends at 12; the round began at second 0 with the target 10."""
        table = (
            ("behind", 9, 0.5, False, 10),
            ("in a short round", 10, 0.5, True, 10),
            ("in a long round", 10, 3.0, False, 12),
            ("in a long round, but at the end", 12, 3.0, True, 12),
        )
        for name, match, now, expected, target in table:
            with self.subTest(name):
                made = self.make_group(("a#1",))
                for number in range(10):
                    made.propose("a#1", f"p{number}")
                changed = made.hosts["a#1"].node._state
                changed.now = now
                peer = progress.Progress(13, now, match_index=match)
                changed.lead.progress["d#1"] = peer
                change = state.Change("t", "d#1", None, target=10, since=0.0)
                self.assertIs(membership.is_caught_up(changed, change), expected)
                self.assertEqual(change.target, target)

    def test_a_silent_learner_is_given_up(self):
        made = self.make_group(spare=("d#1",))
        made.hosts["d#1"].crash()
        self.change(made, "add", add="d#1")
        made.run(group.TIMING.catch_up + 1)
        self.assertEqual(made.answers["add"], actions.Refused(codes.NOT_CAUGHT_UP))
        self.assertEqual(made.hosts["a#1"].node.voters, THREE)
        self.change(made, "again", remove="c#1")
        made.run(1.0)
        self.assertIsInstance(made.answers["again"], actions.Committed)

    def test_a_removed_leader_steps_down_once_that_is_committed(self):
        made = self.make_group()
        self.change(made, "remove", remove="a#1")
        made.run(1.0)
        self.assertIsInstance(made.answers["remove"], actions.Committed)
        self.assertIs(made.hosts["a#1"].node.role, state.Role.FOLLOWER)
        leader = made.wait_leader(("b#1", "c#1"))
        made.propose(leader, "p")
        made.run(10.0)
        self.assertIsInstance(made.answers["p"], actions.Committed)
        self.assertIs(made.hosts["a#1"].node.role, state.Role.FOLLOWER)

    def test_a_removed_voter_learns_of_it_and_stays_quiet(self):
        made = self.make_group()
        made.hosts["c#1"].frozen = True
        made.propose("a#1", "p")
        made.run(0.5)
        made.compact("a#1")
        self.change(made, "remove", remove="c#1")
        made.thaw("c#1")
        made.run(1.0)
        self.assertEqual(made.hosts["c#1"].node.voters, ("a#1", "b#1"))
        term = made.hosts["a#1"].node.term
        made.run(10.0)
        self.assertEqual(made.hosts["a#1"].node.term, term)

    def test_a_departing_voter_behind_a_compaction_is_let_go_untold(self):
        made = self.make_group()
        made.hosts["c#1"].frozen = True
        for number in range(20):
            made.propose("a#1", f"p{number}")
            made.deliver()
        self.change(made, "remove", remove="c#1")
        last = made.hosts["a#1"].node.last_index
        applied = made.hosts["a#1"].applied
        compact = events.Compact(applied, made.checks.digests[applied])
        answer = messages.AppendResponse(1, True, last, 0)
        made.queue = []
        made.step("a#1", compact, events.Receive("b#1", answer))
        self.assertEqual(made.hosts["a#1"].commit, last)
        sent = [message for _, _, to, message in made.queue if to == "c#1"]
        self.assertEqual(sent, [])

    def test_a_wiped_voter_is_replaced_and_then_a_second_one_fails(self):
        made = self.make_group()
        for number in range(20):
            made.propose("a#1", f"p{number}")
        made.run(1.0)
        made.compact("a#1")
        made.hosts["c#1"].crash()
        made.add_host("c#2")
        made.run(10.0)
        self.assertEqual(made.hosts["c#2"].node.term, 0, "a fresh node stands still")
        self.change(made, "remove", remove="c#1")
        made.run(1.0)
        self.change(made, "add", add="c#2")
        made.run(1.0)
        self.assertIsInstance(made.answers["add"], actions.Committed)
        durable = made.checks.find_end(made.hosts["c#2"].disk)
        self.assertEqual(durable, made.hosts["a#1"].applied)
        made.hosts["a#1"].crash()
        leader = made.wait_leader(("b#1", "c#2"))
        made.propose(leader, "after")
        made.run(1.0)
        self.assertIsInstance(made.answers["after"], actions.Committed)

    def test_a_fresh_identity_cannot_vote_or_be_counted(self):
        """The wiped voter of three answers all that reaches its host."""
        table = (
            messages.PreVoteResponse(99, True),
            messages.PreVoteResponse(99, False),
            messages.VoteResponse(2, True),
            messages.VoteResponse(99, False),
            messages.AppendResponse(1, True, 3, 99),
            messages.AppendResponse(99, False, 0, 0),
            messages.InstallResponse(99, 1, 0, 0),
        )
        for answer in table:
            with self.subTest(answer=answer):
                made = self.make_group()
                made.cut = frozenset({"a#1"})
                made.propose("a#1", "p")
                made.read("a#1", "r")
                made.step("a#1", events.Receive("c#2", answer))
                self.assertIs(made.hosts["a#1"].node.role, state.Role.LEADER)
                self.assertEqual(made.hosts["a#1"].node.term, 1)
                self.assertFalse({"p", "r"} & set(made.answers))

    def test_grants_of_strangers_do_not_elect(self):
        for role in (state.Role.PRE_CANDIDATE, state.Role.CANDIDATE):
            with self.subTest(role=role):
                made = group.Group(THREE)
                node = made.hosts["a#1"].node
                made.cut = frozenset({"a#1"})
                made.run_until(
                    lambda node=node: node.role is state.Role.PRE_CANDIDATE, ("a#1",)
                )
                if role is state.Role.CANDIDATE:
                    grant = messages.PreVoteResponse(1, True)
                    made.step("a#1", events.Receive("b#1", grant))
                self.assertIs(made.hosts["a#1"].node.role, role)
                term = made.hosts["a#1"].node.term
                for stranger in ("b#2", "c#2"):
                    grant = messages.PreVoteResponse(term + 1, True)
                    made.step("a#1", events.Receive(stranger, grant))
                    vote = messages.VoteResponse(term, True)
                    made.step("a#1", events.Receive(stranger, vote))
                self.assertIs(made.hosts["a#1"].node.role, role)


if __name__ == "__main__":
    unittest.main()
