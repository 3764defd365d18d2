"""What a gateway makes of what upstreams say of themselves in answers."""

from packages.daemon.tests import gateway_bench as bench  # isort: skip


def say(text, body="done", status="200 OK"):
    """Return a script that answers with further headers."""
    return bench.answer(text, body, status=status)


class SightTest(bench.GatewayCase):
    def list_notices(self):
        """Return what was logged of upstreams' words, without the common fields."""
        fields = ("upstream", "limit", "leaves", "rest_seconds", "unreadable")
        lines = self.bench.list_lines("upstream_notice")
        return [tuple(line[field] for field in fields) for line in lines]

    def test_it_is_logged_when_it_changes(self):
        told = ["", "Trestlestall-Limit: 2.5\r\n", "Trestlestall-Limit: 2.5\r\n", ""]
        upstream = self.bench.add("u1", lambda *given: say(told.pop(0))(*given))
        for _ in range(4):
            self.assertEqual(self.bench.ask("/once/x")[2], "done")
        self.assertEqual(len(upstream.received), 4)
        self.assertEqual(
            self.list_notices(),
            [("u1", 2.5, False, 0.0, []), ("u1", None, False, 0.0, [])],
        )

    def test_what_cannot_be_read_is_logged_once_and_changes_nothing(self):
        self.bench.add(
            "u1", say("Trestlestall-Limit: lots\r\nTrestlestall-Leaving: \r\n")
        )
        for _ in range(3):
            self.assertEqual(self.bench.ask("/once/x")[2], "done")
        names = ["trestlestall-limit", "trestlestall-leaving"]
        self.assertEqual(self.list_notices(), [("u1", None, False, 0.0, names)])

    def test_it_is_counted(self):
        self.bench.add("u1", say("Trestlestall-Limit: 5\r\n"))
        self.bench.ask("/once/x")
        text = self.bench.gateway._metrics.render().decode()
        self.assertIn('trestlestall_upstream_notices_total{kind="limit"} 1.0', text)

    def test_another_incarnation_speaks_for_itself(self):
        self.bench.add("u1", say("Trestlestall-Limit: 5\r\n", status="421 Other"))
        self.bench.ask("/once/x")
        self.assertEqual(self.list_notices(), [])
