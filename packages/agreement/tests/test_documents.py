"""Messages and stored records as plain dicts: round trips and malformed input."""

import unittest

import cbor2

from trestlestall.agreement import documents, entries, messages

ENTRY = entries.Entry(7, 2, entries.COMMAND, b"\x00payload")
SNAPSHOT = entries.Snapshot(7, 2, ("a#1", "b#2"), b"state")
VOTE = entries.Vote(3, None)
REQUEST = messages.AppendRequest(2, 6, 1, (ENTRY, ENTRY), 5, 9)
MESSAGES = (
    messages.PreVoteRequest(3, 7, 2),
    messages.PreVoteResponse(3, True),
    messages.VoteRequest(3, 7, 2),
    messages.TimeoutNow(3),
    messages.HandoverVoteRequest(3, 7, 2),
    messages.VoteResponse(3, False),
    REQUEST,
    messages.AppendResponse(2, False, 4, 9, prev_index=6, hint_term=1),
    messages.InstallRequest(2, 7, 2, ("a#1", "b#2"), 5, 0, b"state", 9),
    messages.InstallResponse(2, 7, 5, 9),
    messages.SettleRequest(3, 7),
    messages.SettleResponse(3, 7),
    messages.DiskLost("a#1"),
)


class DocumentsTest(unittest.TestCase):
    def test_every_message_survives_cbor(self):
        self.assertEqual(
            {type(message) for message in MESSAGES},
            {registered for _, registered in messages.KINDS.list_items()},
        )
        for message in MESSAGES:
            with self.subTest(message=message):
                kind, fields = documents.encode_message(message)
                carried = cbor2.loads(cbor2.dumps(fields))
                self.assertEqual(documents.decode_message(kind, carried), message)

    def test_every_stored_record_survives_cbor(self):
        table = (
            (ENTRY, documents.decode_entry),
            (VOTE, documents.decode_vote),
            (SNAPSHOT, documents.decode_snapshot),
        )
        for record, decode in table:
            with self.subTest(record=record):
                carried = cbor2.loads(cbor2.dumps(documents.encode(record)))
                self.assertEqual(decode(carried), record)

    def test_malformed_messages_are_undecodable(self):
        kind, fields = documents.encode_message(REQUEST)
        entry = documents.encode(ENTRY)
        table = (
            ("unknown kind", "append_wish", fields),
            ("unknown key", kind, {**fields, "more": 1}),
            ("unknown key within", kind, {**fields, "entries": [{**entry, "x": 1}]}),
            ("missing key", kind, {k: v for k, v in fields.items() if k != "term"}),
            ("wrong type", kind, {**fields, "term": "2"}),
            ("no dict", kind, [1, 2]),
        )
        for name, wrong_kind, wrong in table:
            with self.subTest(name):
                decoded = documents.decode_message(wrong_kind, wrong)
                self.assertIsInstance(decoded, documents.Undecodable)


if __name__ == "__main__":
    unittest.main()
