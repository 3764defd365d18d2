"""What other routers said of tiers under pressure."""

import unittest

from trestlestall.membership import pressure


class BoardTest(unittest.TestCase):
    def test_the_most_urgent_tier_of_any_router_counts(self) -> None:
        board = pressure.Board()
        board.note("r1", 1, {"m1": 2, "m2": 5}, 10.0)
        board.note("r2", 1, {"m1": 1}, 10.0)
        cases = (("m1", 1), ("m2", 5), ("m3", None))
        for model, tier in cases:
            with self.subTest(model):
                self.assertEqual(board.find_pressure(model, 10.0), tier)

    def test_late_notes_don_t_replace_newer_ones(self) -> None:
        board = pressure.Board()
        self.assertTrue(board.note("r1", 2, {"m1": 0}, 10.0))
        self.assertFalse(board.note("r1", 1, {}, 10.1))
        self.assertFalse(board.note("r1", 2, {}, 10.2))
        self.assertEqual(board.find_pressure("m1", 10.3), 0)
        self.assertTrue(board.note("r1", 3, {}, 10.4))
        self.assertIsNone(board.find_pressure("m1", 10.5))

    def test_silent_routers_age_out(self) -> None:
        board = pressure.Board(lifetime=3.0)
        board.note("r1", 7, {"m1": 0}, 10.0)
        self.assertEqual(board.find_pressure("m1", 12.9), 0)
        self.assertIsNone(board.find_pressure("m1", 13.0))

    def test_a_router_that_started_again_counts_from_anew(self) -> None:
        board = pressure.Board(lifetime=3.0)
        board.note("r1", 7, {"m1": 0}, 10.0)
        self.assertFalse(board.note("r1", 1, {"m1": 3}, 12.9))
        self.assertTrue(board.note("r1", 1, {"m1": 3}, 13.0))
        self.assertEqual(board.find_pressure("m1", 13.0), 3)

    def test_routers_are_bounded(self) -> None:
        board = pressure.Board()
        for number in range(pressure.ROUTER_LIMIT + 10):
            board.note(f"r{number}", 1, {"m1": 1}, 10.0)
        self.assertEqual(len(board.notes), pressure.ROUTER_LIMIT)


if __name__ == "__main__":
    unittest.main()
