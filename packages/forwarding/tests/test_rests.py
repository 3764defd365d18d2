"""The rest that upstreams ask a gateway for."""

import unittest

from trestlestall.forwarding import rests


class RestsTest(unittest.TestCase):
    def setUp(self):
        self.rests = rests.Rests()

    def test_it_holds_for_its_time(self):
        self.rests.note("u1", 2.5, 10.0)
        self.assertEqual(self.rests.find_wait("u1", 11.0), 1.5)
        self.assertEqual(self.rests.list_resting(12.4), ["u1"])
        self.assertEqual(self.rests.list_resting(12.5), [])
        self.assertEqual(self.rests.find_wait("u1", 13.0), 0.0)

    def test_the_longest_of_several_counts_in_any_order(self):
        for first, second in ((3.0, 1.0), (1.0, 3.0)):
            made = rests.Rests()
            made.note("u1", first, 10.0)
            made.note("u1", second, 10.0)
            self.assertEqual(made.find_wait("u1", 10.0), 3.0)
            made.note("u1", 1.0, 12.5)
            self.assertEqual(made.find_wait("u1", 12.5), 1.0)

    def test_none_is_none(self):
        self.rests.note("u1", 0.0, 10.0)
        self.assertEqual(self.rests.list_resting(10.0), [])

    def test_what_is_over_is_forgotten(self):
        for number in range(100):
            self.rests.note(f"u{number}", 1.0, 10.0 + number)
            self.assertLessEqual(len(self.rests.list_resting(10.0 + number)), 1)


if __name__ == "__main__":
    unittest.main()
