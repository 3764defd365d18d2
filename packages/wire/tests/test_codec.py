"""Encoding and decoding of every message, and refusal of invalid frames."""

import unittest

import cbor2

from trestlestall.wire import (
    codec,
    directory_messages,
    exceptions,
    messages,
    registry,
    stream_messages,
    tunnel_messages,
)

HELLO = messages.Hello("router-a1", "router", "a", "9f3a")
SAMPLES = (
    HELLO,
    messages.Challenge("router-a1", "router", "a", "9f3a", b"n" * 32),
    messages.Proof(b"s" * 32),
    messages.Agreement("control-1#9f3a", "vote", {"term": 3, "entries": [[1, b"x"]]}),
    messages.Submit(1, {"text": "drain upstream u1"}),
    messages.SubmitAnswer(1, {"accepted": 4}),
    messages.ClaimCall(2, "claim", {"key": "k"}),
    messages.ClaimAnswer(2, "granted", {}),
    messages.ConfigurationFull(4, {"classes": {}}),
    messages.ConfigurationDelta(3, 4, ({"a": 1},)),
    messages.ConfigurationAck("router-a1", 4),
    messages.ConfigurationPull(3),
    messages.UpstreamRows("router-a1", ([b"key", 7], {"sequence": 1})),
    messages.UpstreamPull("router-a1", (b"key",)),
    messages.Pressure("router-a1", 9, {"m1": 2}),
    messages.StatusCall(5),
    messages.StatusAnswer(5, {"version": 4}),
    messages.NotUnderstood("novelty", 1),
    directory_messages.Roster(("127.0.0.1:7000", "127.0.0.1:7001")),
    directory_messages.DeclarationNotice(7),
    directory_messages.DeclarationPull(),
    directory_messages.DeclarationDocument(7, b"packed"),
    directory_messages.Announced(
        3, (["u1", 4, 0, "work", "127.0.0.1:8000", "a", 8, 0.5],)
    ),
    directory_messages.UpstreamVersions((["u1", "v1"],)),
    stream_messages.StreamsBegan(([b"k" * 12, "llm", "v1", 15.0],)),
    stream_messages.StreamCall(4, b"k" * 12, "llm", 15.0),
    stream_messages.HeardCall(5, "u1"),
    stream_messages.HeardAnswer(5, None),
    stream_messages.StreamAnswer(4, ("llm", "v1"), None, 60.0, 3),
    directory_messages.VersionProposed(2, "llm", "v1"),
    directory_messages.AnnouncedAnswer(3),
    directory_messages.PlaceCall(4, ("r1", "work", 0, 0.25), ("u1",)),
    directory_messages.PlaceCall(4, ("r1", "work", 0, 0.25), ("u1",), "repeat"),
    directory_messages.RetryCounts(
        "d1#5f", 9, 7, "d2#3", 4, (["d1#5f", "work", 40, 0.25, 9, 2],)
    ),
    directory_messages.RetryCountsAnswer(
        "d2#3", 4, True, "d1#5f", 9, 7, (["d3#1", "work", 40, 0.25, 9, 2],)
    ),
    directory_messages.Spent("d1#5f", 10.0, (["work", 40, 0.25, 9, 2],), 7, 8.5),
    directory_messages.SpentCall(8.5),
    directory_messages.SpentAnswer(7),
    directory_messages.PlaceAnswer(4, "u1", 800, 0.125, "", 0.0, 12),
    directory_messages.PlaceNote("r1", "first"),
    directory_messages.PlaceNote("r1", "succeeded", 0.125),
    directory_messages.PlaceWithdrawn("r1"),
    directory_messages.PlaceNote("r1", "first", 0.0, ("g1#019b", 7, "basu", 3)),
    directory_messages.Starts((["g1#019b", 7, "basu", 3],), (["g1#019b", 6],), 7),
    directory_messages.StartsCall(7),
    directory_messages.Demand("work", 0.5, 3.25),
    directory_messages.PlaceState(([["r1", "work"], "u1", True, 0.25],)),
    directory_messages.Speeds((["u1", 11.4, 0.2, 7],)),
    directory_messages.Crashed((["d1", "u1", 0.25],), (["d2", 1.5],), (["u2", 0.5],)),
    directory_messages.PartsCrashed(
        (["u1", 0.25],),
        (["work/m", "p1", "u1", ["w"], 0.5, 0.25],),
        (["work/m", "p2", 1.5],),
        (["work/m", ["p1"]],),
    ),
    directory_messages.RateLimits((["u1", 1.5, 0.25],), (["u2", 3.0],), ("u1",)),
    directory_messages.PlaceCall(4, ("r1", "work"), (), "first", ("u1",)),
    directory_messages.PlaceAnswer(4, "u1", 0, 0.0, limit=1.5),
    directory_messages.Replaced("u1"),
    directory_messages.BrittleUpstreams((["u1", 4.0, 0.5],), (["u2", 1.0],), ("u1",)),
    tunnel_messages.TunnelCall("u1"),
    tunnel_messages.TunnelAnswer("connection refused", False, True),
    tunnel_messages.TunnelUse("r1"),
    tunnel_messages.TunnelData(b"bytes"),
    tunnel_messages.TunnelEnd(True),
    tunnel_messages.TunnelClosing(),
    tunnel_messages.PeerOffer("127.0.0.1:7001", ("u1",)),
    tunnel_messages.PeersCall(("u1",)),
    tunnel_messages.PeersAnswer((["gateway-2", "127.0.0.1:7001", "a", ["u1"]],)),
)


def tag(number: int) -> bytes:
    """Return a hello frame whose fields are wrapped in a CBOR tag."""
    head = cbor2.dumps([1, "hello", 0])[:-1]
    fields = cbor2.dumps({"name": "", "role": "", "data_centre": "", "identity": ""})
    return head + b"\xda" + number.to_bytes(4, "big") + fields


class RoundTripTest(unittest.TestCase):
    def test_every_message_survives_a_round_trip(self) -> None:
        modules = (messages, directory_messages, stream_messages, tunnel_messages)
        names = {module.__name__ for module in modules}
        own = {kind for kind in registry.NAMES if kind.__module__ in names}
        self.assertEqual({type(sample) for sample in SAMPLES}, own)
        for sample in SAMPLES:
            with self.subTest(message=type(sample).__name__):
                self.assertEqual(codec.decode(codec.encode(sample)), sample)


class RefusalTest(unittest.TestCase):
    def test_invalid_frames_are_refused(self) -> None:
        frame = codec.encode(HELLO)
        fields = {"name": "a", "role": "b", "data_centre": "c", "identity": "d"}
        cases = {
            "nothing": b"",
            "rubbish": bytes(range(256)),
            "text": b"GET / HTTP/1.1\r\n\r\n",
            "cut": frame[:-1],
            "length that lies": bytes.fromhex("9bffffffffffffffff"),
            "deep": b"\x81" * 100_000 + b"\x00",
            "too large": b"\x00" * (codec.MAX_FRAME_BYTES + 1),
            "another form": cbor2.dumps({"hello": 1}),
            "two parts": cbor2.dumps([1, "hello"]),
            "version as text": cbor2.dumps(["1", "hello", fields]),
            "version as bool": cbor2.dumps([True, "hello", fields]),
            "fields as list": cbor2.dumps([1, "hello", list(fields)]),
            "long name": cbor2.dumps([1, "h" * 101, fields]),
            "missing key": cbor2.dumps([1, "hello", {"name": "a"}]),
            "unknown key": cbor2.dumps([1, "hello", {**fields, "more": 1}]),
            "wrong type": cbor2.dumps([1, "hello", {**fields, "name": 1}]),
            "number as key": cbor2.dumps(
                [1, "submit", {"token": 1, "document": {1: 1}}]
            ),
            "open-ended array": b"\x9f\x01\x65hello\xa0\xff",
        }
        for name, data in cases.items():
            with self.subTest(name):
                answer = codec.decode(data)
                self.assertIsInstance(answer, codec.Undecodable)
                self.assertIsNone(codec.answer(answer))

    def test_every_tag_is_refused(self) -> None:
        accepted = [
            number
            for number in (*range(1100), 40, 43000, 55799, 2**32 - 1)
            if not isinstance(codec.decode(tag(number)), codec.Undecodable)
        ]
        self.assertEqual(accepted, [])

    def test_not_understood_is_answered_once(self) -> None:
        cases = {
            "later version": ([2, "hello", {"new": 1}], "hello"),
            "later message": ([1, "novelty", {}], "novelty"),
            "later answer": ([2, "not_understood", {"new": 1}], None),
        }
        for name, (frame, unknown) in cases.items():
            with self.subTest(name):
                answer = codec.answer(codec.decode(cbor2.dumps(frame)))
                expected = unknown and messages.NotUnderstood(unknown, 1)
                self.assertEqual(answer, expected)

    def test_a_message_above_the_size_limit_is_not_encoded(self) -> None:
        large = messages.StatusAnswer(1, {"text": "x" * codec.MAX_FRAME_BYTES})
        with self.assertRaises(exceptions.OversizedMessageError):
            codec.encode(large)


if __name__ == "__main__":
    unittest.main()
