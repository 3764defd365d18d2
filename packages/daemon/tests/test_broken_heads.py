"""Heads that break the grammar: no caller gets such an answer, nor another one's."""

import unittest

from packages.daemon.tests import (  # isort: skip
    gateway_bench as bench,
    malformed_heads,
    test_tunnels,
)

#: An answer to another request, which comes behind a broken one.
NEXT = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret"
SIGNATURE = b"Trestlestall-Signature: s1\r\n"


def sign(head):
    """Return a head with the signature of an answer, which keeps its faults."""
    return head.replace(malformed_heads.OK, malformed_heads.OK + SIGNATURE)


def respond(data):
    """Return a script that sends these bytes and keeps the connection open."""

    def script(connection, received):
        connection.sendall(data)

    return script


class GatewayTest(test_tunnels.TunnelCase):
    def test_a_malformed_head_is_a_broken_answer(self):
        """Guards against a length in a malformed line, and bytes of another answer."""
        for name, head in malformed_heads.MALFORMED.items():
            with self.subTest(name):
                self.renew()
                data = sign(head) + malformed_heads.BODY + NEXT
                broken = self.bench.add("u1", respond(data))
                status, head, body = self.bench.ask("/once/x")
                self.assertEqual(status, 502)
                self.assertNotIn("Not-Run", head)
                self.assertNotIn("secret", body)
                self.assertEqual(len(broken.received), 1)

    def test_a_malformed_refusal_does_not_say_that_nothing_ran(self):
        head = b"HTTP/1.1 503 Busy\r\nTrestlestall-Not-Run: 1\r\nB : c\r\n"
        broken = self.bench.add("u1", respond(head + malformed_heads.LENGTH + b"\r\n"))
        self.assertEqual(self.bench.ask("/once/x")[0], 502)
        self.assertEqual(len(broken.received), 1)

    def test_a_malformed_head_behind_an_answer_to_another_request(self):
        other = b"HTTP/1.1 200 OK\r\nTrestlestall-Request: other\r\n"
        other += b"Content-Length: 2\r\n\r\nno"
        for name in ("status 600", "name with a blank at its end"):
            with self.subTest(name):
                self.renew()
                head = malformed_heads.MALFORMED[name]
                self.bench.add("u1", respond(other + sign(head)))
                self.assertEqual(self.bench.ask("/once/x")[0], 502)

    def test_a_request_that_may_be_repeated_is_served_elsewhere(self):
        head = malformed_heads.MALFORMED["status 999"]
        self.bench.add("u1", respond(head))
        self.bench.add("u2", respond(head))
        sound = bench.answer("", "whole")
        served = [self.bench.ask("/again/x")[0]]
        self.bench.add("u3", sound)
        served += [self.bench.ask("/again/x")[0] for _ in range(4)]
        self.assertNotIn(999, served)
        self.assertIn(200, served)

    def test_a_malformed_head_that_a_peer_passes_on_is_a_broken_answer(self):
        for name in ("status 999", "length in a line that begins with a blank"):
            with self.subTest(name):
                self.renew()
                self.add_peer()
                data = sign(malformed_heads.MALFORMED[name]) + malformed_heads.BODY
                self.add("u1", respond(data + NEXT))
                self.assertEqual(self.bench.ask("/once/x")[0], 502)

    def test_a_sound_head_is_passed_on_however_it_arrives(self):
        for name, head in malformed_heads.SOUND.items():
            with self.subTest(name):
                self.renew()
                self.bench.add("u1", respond(sign(head) + malformed_heads.BODY))
                status, _, body = self.bench.ask("/once/x")
                self.assertEqual((status, body), (200, "true"))


if __name__ == "__main__":
    unittest.main()
