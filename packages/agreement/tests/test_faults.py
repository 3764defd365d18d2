"""Tables of faults: messages, crashes around each persist, and every cut."""

import itertools
import unittest

from packages.agreement.tests import group
from trestlestall.agreement import actions, events, messages, state

THREE = ("a#1", "b#1", "c#1")
FIVE = (*THREE, "d#1", "e#1")

#: Name, share lost, share doubled, delay in seconds (a tick is 0.1 s).
MESSAGE_FAULTS = (
    ("lost", 0.3, 0.0, 0.0),
    ("doubled", 0.0, 1.0, 0.0),
    ("reordered", 0.0, 0.0, 0.09),
    ("late", 0.0, 0.0, 0.4),
    ("all", 0.2, 0.3, 0.4),
)


def insist(made, request, seconds=60):
    """Repeat the request at whoever leads until it is done; return the outcome."""
    for number in range(seconds):
        leader = made.wait_leader()
        token = f"p{made.now:.1f}-{number}"
        request(leader, token)
        made.run(1.0)
        outcome = made.answers.get(token)
        if isinstance(outcome, actions.Committed | actions.ReadReady):
            return outcome
    raise AssertionError("not done in time")


class MessageFaultsTest(unittest.TestCase):
    def test_each_mechanism_gets_through_each_fault(self):
        for name, loss, doubling, delay in MESSAGE_FAULTS:
            for seed in range(3):
                with self.subTest(name, seed=seed):
                    made = group.Group(THREE, ("d#1",), seed)
                    made.loss, made.doubling, made.delay = loss, doubling, delay
                    self.go_through(made)

    def go_through(self, made):
        """Election, replication, read, snapshot in chunks, change of voters."""
        insist(made, made.propose)
        insist(made, made.read)
        made.hosts["b#1"].crash()
        for _ in range(5):
            insist(made, made.propose)
        made.compact(made.wait_leader())
        made.hosts["b#1"].start()
        add = events.ChangeVoters("add", add="d#1")
        for _ in range(30):
            made.step(made.wait_leader(), add)
            made.run(2.0)
            if "d#1" in made.hosts[made.wait_leader()].node.voters:
                break
        insist(made, made.propose)
        made.loss = made.doubling = made.delay = 0.0
        made.run(5.0)
        applied = {host.applied for host in made.hosts.values()}
        self.assertEqual(applied, {made.checks.newest_commit})
        self.assertGreaterEqual(made.checks.counts.get("Restore", 0), 2)


class CrashTest(unittest.TestCase):
    def test_a_crash_before_and_after_each_persist(self):
        """Odd points fall before a persist, even points after it."""
        for name, point in itertools.product(("a#1", "b#1"), range(1, 13)):
            with self.subTest(name, point=point):
                made = group.Group(THREE)
                made.hosts[name].crash_at = point
                made.run(0.0)
                for number in range(4):
                    leader = made.wait_leader()
                    made.propose(leader, f"x{number}", f"y{number}")
                    made.run(0.2)
                    if made.hosts[leader].node is not None:
                        made.compact(leader)
                    made.run(0.5)
                self.assertGreater(made.checks.counts.get("crash", 0), 0)
                made.hosts[name].start()
                insist(made, made.propose)
                made.run(2.0)
                applied = {host.applied for host in made.hosts.values()}
                self.assertEqual(applied, {made.checks.newest_commit})

    def test_a_vote_outlives_a_crash(self):
        made = group.Group(THREE)
        ask = messages.VoteRequest(5, 0, 0)
        made.step("c#1", events.Receive("a#1", ask))
        made.hosts["c#1"].crash()
        made.hosts["c#1"].start()
        made.step("c#1", events.Receive("b#1", ask))
        granted = [(to, message.granted) for _, _, to, message in made.queue]
        self.assertEqual(granted, [("a#1", True), ("b#1", False)])


class CutsTest(unittest.TestCase):
    def test_every_cut_with_each_leader(self):
        for voters in (THREE, FIVE):
            sides = itertools.chain.from_iterable(
                itertools.combinations(voters, size)
                for size in range(1, len(voters) // 2 + 1)
            )
            for minority, leader in itertools.product(list(sides), voters):
                with self.subTest(minority=minority, leader=leader):
                    self.cut_and_heal(voters, minority, leader)

    def cut_and_heal(self, voters, minority, leader):
        made = group.Group(voters)
        made.elect(leader)
        made.propose(leader, "before")
        made.run(0.5)
        made.cut = frozenset(minority)
        for host in made.hosts.values():
            made.propose(host.name, f"{host.name} cut")
            made.read(host.name, f"{host.name} read")
        made.run(5.0)
        majority = set(voters) - set(minority)
        self.assertIn(made.wait_leader(majority), majority)
        self.assertFalse([name for name in minority if made.hosts[name].leads])
        for name in minority:
            done = made.answers[f"{name} cut"], made.answers[f"{name} read"]
            self.assertNotIsInstance(done[0], actions.Committed)
            self.assertIsInstance(done[1], actions.ReadRefused)
        insist(made, made.propose)
        terms = {made.hosts[name].node.term for name in majority}
        made.cut = frozenset()
        made.run(3.0)
        after = {(host.node.term, host.applied) for host in made.hosts.values()}
        newest = made.checks.newest_commit
        self.assertEqual(after, {(max(terms), newest)}, "a returning host unseats")


class FrozenLeaderTest(unittest.TestCase):
    """A leader freezes with requests open; the others go on and commit."""

    def freeze(self, stopped=False):
        made = group.Group(THREE)
        made.elect("a#1")
        made.run(0.5)
        made.propose("a#1", "open")
        made.read("a#1", "open read")
        made.hosts["a#1"].frozen = True
        made.queue = [item for item in made.queue if item[2] == "a#1"]
        begun = made.now
        made.run(5.0)
        made.propose(made.wait_leader(("b#1", "c#1")), "newer")
        made.run(60.0, dt=0.25)
        made.hosts["a#1"].lag = made.now - begun if stopped else -3600.0
        return made

    def test_nothing_is_answered_from_the_stale_state(self):
        acks = (
            messages.AppendResponse(1, True, 3, 99),
            messages.AppendResponse(1, True, 2, 1),
        )
        table = [(event,) for event in (events.Tick(), events.Read("late"))]
        table += [(events.Propose("late", b"late;"),)]
        table += [(events.Receive("b#1", ack), events.Read("late")) for ack in acks]
        for first in table:
            with self.subTest(first=first):
                made = self.freeze()
                made.checks.note_asked("late")
                made.step("a#1", *first)
                self.assertIs(made.hosts["a#1"].node.role, state.Role.FOLLOWER)
                self.assertEqual(made.answers["open"], actions.Lost())
                for token in {"open read", "late"} & set(made.answers):
                    refusals = (actions.ReadRefused, actions.NotLeader)
                    self.assertIsInstance(made.answers[token], refusals)
                made.thaw("a#1")
                made.run(2.0)
                self.assertEqual(made.hosts["a#1"].applied, made.checks.newest_commit)

    def test_a_clock_that_stood_still_does_not_help_either(self):
        """No leap is seen: only the quorum round keeps the read back."""
        made = self.freeze(stopped=True)
        made.checks.note_asked("late")
        made.step("a#1", events.Read("late"))
        self.assertNotIn("late", made.answers)
        made.thaw("a#1")
        self.assertIsInstance(made.answers["late"], actions.ReadRefused)

    def test_an_answer_to_a_round_before_the_read_does_not_confirm_it(self):
        made = group.Group(THREE)
        made.elect("a#1")
        made.run(1.0)
        asked = made.hosts["a#1"].node._state.lead.round
        made.read("a#1", "r")
        for number, answered in ((asked, False), (asked + 1, True)):
            answer = messages.AppendResponse(1, True, 2, number)
            made.step("a#1", events.Receive("b#1", answer))
            self.assertIs("r" in made.answers, answered)


if __name__ == "__main__":
    unittest.main()
