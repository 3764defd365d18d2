"""The slope tool's pure parts: lines, spreads, and the rows made of samples."""

import unittest

from trestlestall.standins import fitting, readings, slopes, sweeps, tables


def make_samples(slope: float, counts: tuple[int, ...]) -> list[slopes.Sample]:
    """Return samples of a router whose memory and time grow with the count."""
    return [
        slopes.Sample(
            count,
            role,
            readings.Reading(0.0, 1024 * (5 + slope * count), 0, count / 1000, 0, 0),
        )
        for count in counts
        for role in slopes.ROLES
    ]


class FittingTest(unittest.TestCase):
    def test_lines(self):
        cases = [
            ([(0, 1.0), (10, 3.0)], 1.0, 0.2),
            ([(0, 1.0), (1, 0.0), (2, 2.0)], 0.5, 0.5),
            ([(4, 7.0), (8, 7.0)], 7.0, 0.0),
        ]
        for points, base, slope in cases:
            with self.subTest(points=points):
                line = fitting.fit(points)
                self.assertAlmostEqual(line.base, base)
                self.assertAlmostEqual(line.slope, slope)

    def test_spreads(self):
        cases = [([3.0], (3, 3, 3)), ([4.0, 1.0], (2.5, 1, 4)), ([9, 1, 2], (2, 1, 9))]
        for values, expected in cases:
            with self.subTest(values=values):
                found = fitting.find_spread(values)
                self.assertEqual((found.middle, found.least, found.greatest), expected)


class SlopesTest(unittest.TestCase):
    def test_rows_have_the_unit_of_their_measure(self):
        cases = [(False, "ms CPU/s"), (True, "ms CPU")]
        for by_total, unit in cases:
            with self.subTest(by_total=by_total):
                sweep = sweeps.Sweep("things", (0, 10), by_total, None)
                repeats = [make_samples(2.0, (0, 10)), make_samples(4.0, (0, 10))]
                rows = slopes.fit_sweep(sweep, repeats)
                memory = next(row for row in rows if row.measure == "memory")
                self.assertAlmostEqual(memory.slope.middle, 3.0)
                self.assertAlmostEqual(memory.base.middle, 5.0)
                cpu = next(row for row in rows if row.measure == "cpu")
                self.assertEqual(cpu.unit, unit)
                self.assertAlmostEqual(cpu.slope.middle, 1.0)

    def test_rate_is_the_growth_over_the_window(self):
        early = readings.Reading(10.0, 1, 2, 1.0, 100, 50)
        late = readings.Reading(14.0, 3, 4, 3.0, 500, 50)
        expected = readings.Reading(14.0, 3, 4, 0.5, 100.0, 0.0)
        self.assertEqual(readings.compute_rate(early, late), expected)

    def test_table(self):
        expected = "| a  | bb |\n|----|----|\n| 1  | 2  |\n| 10 | 20 |"
        table = tables.write_table(["a", "bb"], [[1, 2], [10, 20]])
        self.assertEqual(table, expected)


if __name__ == "__main__":
    unittest.main()
