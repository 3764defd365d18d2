"""What a gateway makes of a request under which upstreams end."""

from packages.daemon.tests import gateway_bench as bench

UPSTREAMS = 7
FATAL = b"fatal"


class CrashTest(bench.GatewayCase):
    """One gateway without a directory."""

    def setUp(self):
        super().setUp()
        self.fleet = {}
        for number in range(UPSTREAMS):
            self.start(f"u{number}")

    def start(self, identity):
        """Start an upstream that ends when it begins to run a fatal request."""

        def script(connection, received):
            if received.body == FATAL:
                self.fleet[identity].stop()
                return False
            return bench.answer("", "done")(connection, received)

        self.fleet[identity] = self.bench.add(identity, script)

    def ask(self, number, body=FATAL, path="/again/x", **headers):
        """Send the attempt of this number; return status, head and body."""
        return self.bench.ask(path, body, Trestlestall_Request=f"r-{number}", **headers)

    def count_ended(self):
        """Return under how many upstreams the fatal request ran."""
        found = (one.received for one in self.fleet.values())
        return sum(any(each.body == FATAL for each in one) for one in found)

    def test_it_ends_no_more_than_three_upstreams(self):
        answers = [self.ask(number) for number in range(4)]
        self.assertEqual(self.count_ended(), 3)
        for status, head, _ in answers:
            self.assertEqual(status, 502)
            self.assertNotIn("Retry-After", head)
        self.assertEqual(self.ask(5, b"good")[2], "done")
