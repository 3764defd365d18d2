"""What the log holds of the duties: only its holder changes it, snapshots keep it."""

import unittest

from trestlestall.duties import leases, orders, state, windows

SUBJECT = ("work", "a", True)


def enter(known, *events):
    """Apply events; return the state and the answer to the last one."""
    outcome = None
    for event in events:
        known, outcome = state.apply(known, state.encode_event(event))
    return known, state.decode_answer(outcome)


def hold():
    return enter(state.EMPTY, leases.Take("host", "1", 0, 0))[0]


class StateTest(unittest.TestCase):
    def test_only_the_holder_is_heard(self):
        known = hold()
        others = (
            windows.Fix(7, 100, {"w": 1}),
            orders.Order(7, *SUBJECT, 3),
            orders.Placed(7, *SUBJECT, 3),
        )
        for event in others:
            with self.subTest(event=event):
                after, answer = enter(known, event)
                self.assertEqual((after, answer), (known, leases.Refused(1)))

    def test_a_taken_report_is_believed_of_anyone(self):
        known, _ = enter(hold(), windows.Fix(1, 100, {"w": 1}))
        known, _ = enter(known, windows.Reported(0, 100))
        self.assertEqual(known.windows, windows.Windows(100, {}))

    def test_an_order_stands_until_another_count_is_wanted(self):
        known, _ = enter(hold(), orders.Order(1, *SUBJECT, 3))
        subject = orders.Subject(*SUBJECT)
        self.assertEqual(known.orders.standing[subject], orders.Standing(3, False))
        known, _ = enter(known, orders.Placed(1, *SUBJECT, 3))
        again, _ = enter(known, orders.Order(1, *SUBJECT, 3))
        self.assertEqual(again.orders.standing[subject], orders.Standing(3, True))
        other, _ = enter(known, orders.Order(1, *SUBJECT, 4))
        late, _ = enter(other, orders.Placed(1, *SUBJECT, 3))
        self.assertEqual(late.orders.standing[subject], orders.Standing(4, False))

    def test_a_snapshot_holds_all_of_it(self):
        known, _ = enter(
            hold(),
            leases.Renew("1", 1, 1),
            windows.Fix(1, 100, {"w": 1}),
            orders.Order(1, *SUBJECT, 3),
        )
        self.assertEqual(state.decode(state.encode(known)), known)
        self.assertEqual(state.decode(state.encode(state.EMPTY)), state.EMPTY)


if __name__ == "__main__":
    unittest.main()
