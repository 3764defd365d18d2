"""Lookups before a refusal: one question each, bounded, settled once in any case."""

import types
import unittest

from trestlestall.claims import documents, events, outcomes
from trestlestall.daemon.router import calls, exchanges, lookups

HELD = outcomes.Held("router-2")


def make_exchange(request: str = "r1") -> exchanges.Exchange:
    call = calls.Call("service:slots", "POST", "/book", b"{}")
    workspace = types.SimpleNamespace(name="basu")
    exchange = exchanges.Exchange(request, call, workspace, None, 0.0)
    exchange.claim_key = "k1"
    return exchange


class LookupsTest(unittest.TestCase):
    def setUp(self):
        self.sent, self.told, self.silent = [], [], []
        self.lookups = lookups.Lookups(
            self.sent.append, lambda: self.silent.append(True)
        )

    def look(self, request: str = "r1") -> int:
        self.lookups.look(make_exchange(request), self.told.append)
        return self.sent[-1].token

    def answer(self, token: int, outcome: outcomes.Outcome) -> bool:
        fields = documents.encode_outcome(outcome)
        return self.lookups.take_answer(token, fields.pop("kind"), fields)

    def test_one_question_is_settled_once(self):
        token = self.look()
        (call,) = self.sent
        look = documents.decode_look(call.fields)
        self.assertIsInstance(look, events.Look)
        self.assertEqual((look.workspace, look.key, look.attempt), ("basu", "k1", "r1"))
        self.assertFalse(self.answer(token + 1, HELD))
        self.assertTrue(self.lookups.take_answer(token, "nonsense", {}))
        self.assertTrue(self.answer(token, HELD))
        self.assertFalse(self.answer(token, HELD))
        self.lookups.give_up(token)
        self.assertEqual((self.told, self.silent), ([HELD], []))

    def test_silence_settles_it_and_forgets_the_leader(self):
        token = self.look()
        self.lookups.give_up(token)
        self.assertFalse(self.answer(token, HELD))
        self.assertEqual((self.told, self.silent), ([None], [True]))

    def test_a_redirect_asks_again(self):
        token = self.look()
        self.lookups.redirect(token + 1)
        self.lookups.redirect(token)
        self.assertEqual(self.sent, [self.sent[0]] * 2)

    def test_beyond_the_limit_nothing_is_asked(self):
        tokens = [self.look(f"r{n}") for n in range(lookups.LOOKUP_LIMIT)]
        self.look("one more")
        self.assertEqual((self.told, len(self.sent)), ([None], len(tokens)))
        self.answer(tokens[0], HELD)
        self.look("room again")
        self.assertEqual(len(self.sent), len(tokens) + 1)


if __name__ == "__main__":
    unittest.main()
