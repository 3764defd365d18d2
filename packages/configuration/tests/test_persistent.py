"""The persistent map against a plain dictionary."""

import random
import unittest

from trestlestall.configuration import persistent

# Whole multiples of this number all have the hash 0.
HASH_MODULUS = 2**61 - 1
SEEDS = range(5)
STEPS = 2_000


class MapTest(unittest.TestCase):
    def test_agrees_with_dictionary_and_keeps_older_maps(self):
        """Seeded changes: each mark equals its dictionary, also at the end."""
        for factor in (1, 37, HASH_MODULUS):
            for seed in SEEDS:
                with self.subTest(factor=factor, seed=seed):
                    self.check_changes(random.Random(seed), factor)

    def check_changes(self, chance, factor):
        made, plain, marks = persistent.EMPTY, {}, []
        for step in range(STEPS):
            key = chance.randrange(300) * factor
            if chance.random() < 0.4:
                made = made.remove(key)
                plain.pop(key, None)
            else:
                made = made.set(key, step)
                plain[key] = step
            if step % 400 == 0:
                marks.append((made, dict(plain)))
        for older, expected in [*marks, (made, plain)]:
            self.assertEqual(list(older.items()), sorted(expected.items()))
            self.assertEqual(len(older), len(expected))
            self.assertEqual(older, persistent.Map.of(expected))
            self.assertEqual(hash(older), hash(persistent.Map.of(expected)))

    def test_source_may_change_afterwards(self):
        """A map made of a dictionary does not follow its changes."""
        plain = {"a": 1}
        made = persistent.Map.of(plain)
        plain["b"] = 2
        self.assertEqual(dict(made), {"a": 1})


if __name__ == "__main__":
    unittest.main()
