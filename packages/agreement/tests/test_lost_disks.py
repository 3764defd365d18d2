"""Seeded schedules in which disks of an even group are lost while its voters change.

Only safety is checked, by the invariants of ``checks``: a schedule may leave a group
without a quorum. A disk is lost only while no other lost one is among the voters that
any host knows. With more seeds:

    python -m packages.agreement.tests.test_lost_disks FIRST COUNT
"""

import sys
import unittest

from packages.agreement.tests import checks, group, test_schedules
from trestlestall.agreement import events, messages

FOUR = ("a#1", "b#1", "c#1", "d#1")

SEEDS = 60
SIZES = (3, 4, 4, 4, 6)
#: Events that must occur often, or else the schedules exercise too little.
HAPPENS = ("Committed", "voters", "wipe", "VoterLost", "elected by a half")


class Schedule(test_schedules.Schedule):
    """A schedule of lost disks and of changes that may remove any voter."""

    def __init__(self, size, seed):
        super().__init__(size, seed, spare=2)
        self.group.loss = self.random.choice((0.0, 0.0, 0.1))
        self.group.delay = self.random.choice((0.0, 0.15, 1.5))
        kept = [
            each for each in self.choices if each[0] not in (self.wipe, self.change)
        ]
        self.choices = (*kept, (self.wipe, 8), (self.change, 8), (self.halve, 40))
        self.choices += ((self.part_halves, 6), (self.compact, 20))

    def run(self):
        """Run all steps."""
        steps, weights = zip(*self.choices, strict=True)
        for _ in range(test_schedules.STEPS):
            self.random.choices(steps, weights)[0]()
            self.group.run(self.random.choice((0.0, 0.1, 0.1, 0.3, 1.0)))

    def change(self):
        """Add or remove any voter but the last two, at a leader."""
        name = self.pick_host(lambda host: host.leads and host.runs)
        if name is None:
            return
        voters = self.group.hosts[name].node.voters
        target = self.random.choice(sorted(self.group.hosts))
        token = self.make_token("v")
        if target in voters and len(voters) > 2:
            self.group.step(name, events.ChangeVoters(token, remove=target))
        elif target not in voters and target not in self.lost_hosts:
            self.group.step(name, events.ChangeVoters(token, add=target))

    def wipe(self):
        """Lose the disk of a running host."""
        name = self.pick_host(lambda host: host.runs)
        if name is not None:
            self.lose_disk(name)

    def lose_disk(self, name):
        """Lose the disk of a host, if it may be lost; the host returns as another node.

        Return whether it was lost.
        """
        known = {
            voter
            for host in self.group.hosts.values()
            for point in host.list_configurations()
            for voter in point.voters
        }
        if known & self.lost_hosts or name in self.lost_hosts:
            return False
        self.lost_hosts.add(name)
        self.group.checks.count("wipe")
        self.group.hosts[name].crash()
        process, _, number = name.partition("#")
        self.group.add_host(f"{process}#{int(number) + 1}")
        return True

    def halve(self):
        """Crash or freeze another voter, if half of an even number would be left."""
        for host in list(self.group.hosts.values()):
            voters = host.get_voters()
            running = [name for name in voters if self.group.hosts[name].runs]
            if self.lost_hosts & set(voters) and len(running) - 1 == len(voters) // 2:
                victim = self.group.hosts[self.random.choice(running)]
                if self.random.random() < 0.5:
                    return victim.crash()
                victim.frozen = True
                return None
        return None

    def part_halves(self):
        """Cut an even group in halves while it changes, and lose a disk between them.

        The leader's half goes on alone for a while; then a disk of it is lost, and the
        host joins the other half.
        """
        leader = self.group.find_leader(None)
        if leader is None or self.group.partition:
            return
        voters = self.group.hosts[leader].node.voters
        others = [name for name in voters if name != leader]
        size = max(len(voters) // 2 - 1, 1)
        near = {leader, *self.random.sample(others, min(size, len(others)))}
        spare = {name for name in self.group.hosts if name not in voters}
        near |= set(self.random.sample(sorted(spare), len(spare) // 2))
        self.group.partition = frozenset(near)
        for act in self.random.choices((self.change, self.propose), k=3):
            act()
            self.group.run(self.random.choice((0.1, 0.3)))
        lost = self.random.choice(sorted(near & set(voters)))
        if self.lose_disk(lost):
            self.group.partition = frozenset(near - {lost})
        self.group.run(self.random.choice((0.5, 4.0, 8.0)))
        self.propose()
        self.group.run(0.3)


def run_schedules(first, count):
    """Run schedules; return counts of events, raise on a violation."""
    counts = {}
    for seed in range(first, first + count):
        schedule = Schedule(SIZES[seed % len(SIZES)], seed)
        try:
            schedule.run()
        except checks.Violation as error:
            raise checks.Violation(f"seed {seed}: {error}") from error
        for what, times in schedule.group.checks.counts.items():
            counts[what] = counts.get(what, 0) + times
    return counts


class LostDisksTest(unittest.TestCase):
    def test_no_two_quorums_decide_differently_when_disks_are_lost(self):
        counts = run_schedules(8000, SEEDS)
        for what in HAPPENS:
            self.assertGreater(counts.get(what, 0), SEEDS // 4, (what, counts))

    def test_an_earlier_version_among_the_voters_allows_no_halves(self):
        """It ignores the question, and would end a change with one majority."""
        for has_earlier, leads in ((False, True), (True, False)):
            with self.subTest(has_earlier=has_earlier):
                cluster = group.Group(FOUR)
                if has_earlier:
                    self.drop_questions(cluster, "d#1")
                self.lose_two(cluster)
                leading = [each for each in ("c#1", "d#1") if cluster.hosts[each].leads]
                self.assertEqual(bool(leading), leads)

    def test_halves_count_after_all_have_restarted(self):
        cluster = group.Group(FOUR)
        cluster.elect("a#1")
        cluster.run(2.0)
        for host in cluster.hosts.values():
            host.crash()
        for name in ("c#1", "d#1"):
            cluster.hosts[name].start()
        cluster.add_host("b#2")
        self.assertIn(cluster.wait_for_leader(), ("c#1", "d#1"))

    def test_a_leader_that_restarted_from_a_snapshot_changes_no_voters_by_one_majority(
        self,
    ):
        """The others may have the entries by which half of the voters may decide."""
        cluster = group.Group(FOUR)
        cluster.elect("a#1")
        cluster.run(2.0)
        self.drop_questions(cluster, "c#1")
        cluster.compact("a#1")
        cluster.hosts["a#1"].crash()
        cluster.hosts["a#1"].start()
        cluster.elect("a#1")
        cluster.run(0.3)
        cluster.partition = frozenset(("a#1", "b#1"))
        cluster.step("a#1", events.ChangeVoters("v", remove="c#1"))
        cluster.run(0.5)
        self.assertNotIn("v", cluster.answers)

    def drop_questions(self, cluster, name):
        """Let a host ignore the message that its version doesn't know."""
        send = cluster.send

        def send_known(sender, action):
            is_question = isinstance(action.message, messages.SettleRequest)
            if not (is_question and action.to == name):
                send(sender, action)

        cluster.send = send_known

    def lose_two(self, cluster):
        """Lose the leader for good, and the disk of another voter."""
        cluster.elect("a#1")
        cluster.run(2.0)
        cluster.hosts["a#1"].crash()
        cluster.hosts["b#1"].crash()
        cluster.run(1.0)
        cluster.add_host("b#2")
        cluster.run(12.0)


if __name__ == "__main__":
    if len(sys.argv) > 2:
        print(run_schedules(int(sys.argv[1]), int(sys.argv[2])))
    else:
        unittest.main()
