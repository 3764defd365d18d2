"""How the heads of answers are found in what arrives."""

import unittest

from packages.daemon.tests import malformed_heads
from trestlestall.daemon.http import answer_heads


class HeadBufferTest(unittest.TestCase):
    def test_heads_are_found_however_their_bytes_arrive(self):
        head = malformed_heads.make_head(b"B: c\r\n")
        for size in (1, 2, 3, len(head)):
            with self.subTest(size=size):
                buffer = answer_heads.HeadBuffer()
                found = []
                for at in range(0, 2 * len(head), size):
                    buffer.add((head + head)[at : at + size])
                    found.append(buffer.take_head())
                    found.append(buffer.take_head())
                whole = [one for one in found if one is not None]
                self.assertEqual(whole, [head, head])
                self.assertEqual(buffer.take_rest(), b"")

    def test_the_reason_tells_the_line_that_is_malformed(self):
        table = {"status 999": 1, "name with a blank inside": 3, "CR in a value": 3}
        for name, line in table.items():
            with self.subTest(name):
                with self.assertRaises(answer_heads.InvalidHeadError) as raised:
                    answer_heads.parse(malformed_heads.MALFORMED[name])
                self.assertTrue(str(raised.exception).endswith(f"in line {line}"))

    def test_what_can_be_no_head_is_refused_before_it_ends(self):
        for data in (b"\x16\x03", b"http", b"\r\n", b"HTTP/1.1 200 " + b"x" * 70_000):
            with self.subTest(data[:8]):
                buffer = answer_heads.HeadBuffer()
                buffer.add(data)
                self.assertRaises(answer_heads.InvalidHeadError, buffer.take_head)


if __name__ == "__main__":
    unittest.main()
