"""Reading the signals of an upstream from the headers of an answer."""

import unittest

from trestlestall.forwarding import upstream_signals

NAMES = upstream_signals.HeaderNames("limit", "leaving")
#: Values that are invalid wherever a number belongs.
UNREADABLE = ("", "-1", "nan", "inf", "1e300", "1_0", "٣", "x", "1,5", "0x1", "1.", " ")


def read(status=200, **values):
    """Return the signals of an answer with these headers."""
    found = {
        name.replace("_", "-"): [value] if isinstance(value, str) else value
        for name, value in values.items()
    }
    return upstream_signals.read(found, status, NAMES)


class ReadTest(unittest.TestCase):
    def test_an_answer_without_signals(self):
        self.assertEqual(read(), upstream_signals.Signal())

    def test_a_limit_is_a_decimal_number(self):
        for text, limit in {"0": 0.0, "1.2": 1.2, " 30 ": 30.0}.items():
            self.assertEqual(read(limit=text).limit, limit)

    def test_leaving_is_a_flag(self):
        self.assertTrue(read(leaving="1").leaves)
        self.assertEqual(read(leaving="0"), upstream_signals.Signal())
        self.assertEqual(read(leaving="yes").unreadable, ("leaving",))

    def test_backoffs_come_with_rejections_only(self):
        for status in (429, 503):
            self.assertEqual(read(status, retry_after="2.5").rest_seconds, 2.5)
        for status in (200, 404, 500):
            self.assertEqual(read(status, retry_after="2.5"), upstream_signals.Signal())

    def test_invalid_values_are_ignored_and_named(self):
        for text in UNREADABLE:
            with self.subTest(text):
                found = read(503, limit=text, retry_after=text)
                self.assertEqual(found.limit, None)
                self.assertEqual(found.rest_seconds, 0.0)
                self.assertEqual(found.unreadable, ("limit", "retry-after"))

    def test_a_brittle_upstream_states_a_number(self):
        self.assertEqual(read(503, brittle="4").brittle, 4.0)
        for text in UNREADABLE:
            with self.subTest(text):
                found = read(brittle=text)
                self.assertEqual(
                    (found.brittle, found.unreadable), (None, ("brittle",))
                )

    def test_a_date_or_years_of_backoff_are_invalid(self):
        for text in ("Thu, 03 Dec 2026 06:00:00 GMT", "999999999"):
            found = read(503, retry_after=text)
            self.assertEqual(
                (found.rest_seconds, found.unreadable), (0.0, ("retry-after",))
            )

    def test_a_repeated_header_must_have_one_value(self):
        self.assertEqual(read(limit=["2", "2"]).limit, 2.0)
        self.assertEqual(read(limit=["2", "3"]).unreadable, ("limit",))
        self.assertEqual(read(leaving=["1", "0"]).unreadable, ("leaving",))


if __name__ == "__main__":
    unittest.main()
