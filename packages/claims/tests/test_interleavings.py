"""At most once, over generated interleavings of many routers' messages.

Routers claim keys, give up, release, run and finish. Their messages are delayed,
doubled, reordered and lost, in both directions; time wobbles, and the claims are
encoded and restored on the way. All seeds are fixed.
"""

import random
import unittest

from trestlestall.claims import claims, documents, events, outcomes

SEEDS = range(150)
STEPS = 300
KEYS = 12
LOSS = 0.2
DOUBLING = 0.3
RESTORE = 0.02


class Network:
    """Messages under way to the claims, and answers under way to the routers."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.asked = []
        self.answered = []

    def pick(self, queue):
        """Take any message of the queue, or leave a copy of it to arrive again."""
        place = self.chance.randrange(len(queue))
        doubled = self.chance.random() < DOUBLING
        return queue[place] if doubled else queue.pop(place)

    def is_lost(self):
        return self.chance.random() < LOSS


class Session:
    """Routers over one state machine, and what is known of each attempt."""

    def __init__(self, test, seed):
        self.test = test
        self.network = Network(seed)
        self.held = claims.EMPTY
        self.now = 0.0
        self.sent = {}
        self.waiting, self.running, self.finished = set(), set(), set()
        self.runs, self.released, self.granted = {}, set(), {}

    def step(self):
        chance = self.network.chance
        actions = [self.claim, self.deliver, self.deliver, self.answer, self.answer]
        chance.choice([*actions, self.resend, self.give_up, self.finish])()
        self.now += chance.uniform(-1.0, 1.5)
        if chance.random() < RESTORE:
            self.restore()

    def claim(self):
        attempt = f"a{len(self.sent)}"
        key = f"k{self.network.chance.randrange(KEYS)}"
        self.sent[attempt] = events.Claim("basu", key, "f1", attempt, "r1")
        self.waiting.add(attempt)
        self.network.asked.append(self.sent[attempt])

    def resend(self):
        if self.sent:
            attempt = self.network.chance.choice(sorted(self.sent))
            self.network.asked.append(self.sent[attempt])

    def give_up(self):
        if self.waiting:
            attempt = self.network.chance.choice(sorted(self.waiting))
            self.waiting.remove(attempt)
            self.network.asked.append(events.Release(attempt))

    def finish(self):
        if self.running:
            attempt = self.network.chance.choice(sorted(self.running))
            self.running.remove(attempt)
            self.finished.add(attempt)
            body = attempt.encode()
            self.network.asked.append(events.Finish(attempt, 200, "", body))

    def deliver(self):
        if not self.network.asked:
            return
        event = self.network.pick(self.network.asked)
        self.held, outcome = claims.apply(self.held, event, self.now)
        if isinstance(event, events.Release):
            self.test.assertEqual(outcome, outcomes.Recorded())
            self.released.add(event.attempt)
        if isinstance(outcome, outcomes.Granted):
            self.check_grant(event)
        if isinstance(outcome, outcomes.Finished):
            self.test.assertEqual(self.runs[event.key], outcome.body.decode())
        if isinstance(event, events.Claim) and not self.network.is_lost():
            self.network.answered.append((event, outcome))

    def check_grant(self, event):
        """A key passes to another attempt only after the one before was released."""
        self.test.assertNotIn(event.attempt, self.released)
        self.test.assertNotIn(event.attempt, self.finished & self.recorded())
        before = self.granted.get(event.key, event.attempt)
        if before != event.attempt:
            self.test.assertIn(before, self.released)
        self.granted[event.key] = event.attempt

    def recorded(self):
        known = self.held.attempts.copy_plain().values()
        return {record.attempt for record in known if record.answer}

    def answer(self):
        """A router runs what it is granted, unless it has given up meanwhile."""
        if not self.network.answered:
            return
        event, outcome = self.network.pick(self.network.answered)
        if event.attempt not in self.waiting:
            return
        self.waiting.remove(event.attempt)
        if isinstance(outcome, outcomes.Granted):
            self.test.assertNotIn(event.key, self.runs, "a key ran twice")
            self.runs[event.key] = event.attempt
            self.running.add(event.attempt)

    def restore(self):
        document = documents.encode(self.held)
        self.held = documents.decode(document)
        self.test.assertEqual(documents.encode(self.held), document)


class InterleavingsTest(unittest.TestCase):
    def test_at_most_one_run_for_each_key(self):
        """No key runs twice, and no grant is given beside one that stands."""
        runs = finished = passed_on = 0
        for seed in SEEDS:
            session = Session(self, seed)
            with self.subTest(seed=seed):
                for _ in range(STEPS):
                    session.step()
            runs += len(session.runs)
            finished += len(session.recorded())
            passed_on += len(session.released & set(session.sent))
        # The interleavings reach what they are meant to prove.
        self.assertGreater(runs, len(SEEDS))
        self.assertGreater(finished, len(SEEDS) // 2)
        self.assertGreater(passed_on, len(SEEDS))


class ReplicaTest(unittest.TestCase):
    def test_restored_claims_go_on_alike(self):
        """Claims restored at any point answer, and are encoded, like the original."""
        for seed in range(20):
            chance = random.Random(seed)
            original = restored = claims.EMPTY
            for step in range(400):
                event = make_event(chance)
                at = step * 400.0 + chance.uniform(-900.0, 900.0)
                original, outcome = claims.apply(original, event, at)
                restored, again = claims.apply(restored, event, at)
                self.assertEqual(again, outcome)
                if chance.random() < 0.1:
                    restored = documents.decode(documents.encode(restored))
            expected = documents.encode(original)
            self.assertEqual(documents.encode(restored), expected)
            self.assertEqual(restored.body_bytes, original.body_bytes)


def make_event(chance):
    attempt = f"a{chance.randrange(60)}"
    key = f"k{chance.randrange(6)}"
    made = [
        events.Claim("basu", key, f"f{chance.randrange(2)}", attempt, "r1"),
        events.Finish(attempt, 200, "text/plain", bytes(chance.randrange(9))),
        events.Release(attempt),
    ]
    return chance.choice([made[0], *made])


if __name__ == "__main__":
    unittest.main()
