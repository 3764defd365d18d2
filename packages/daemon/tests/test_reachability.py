"""What a gateway logs of the upstreams that it can't connect to."""

import eventlet

from packages.daemon.tests import gateway_bench


class ServiceReachTest(gateway_bench.GatewayCase):
    def test_a_service_whose_last_upstream_is_out_of_reach_is_logged_once(self):
        made = [
            self.bench.add(name, gateway_bench.answer("", "ok")) for name in ("a", "b")
        ]
        for one in made:
            one.stop()
        for _ in range(3):
            self.assertEqual(self.bench.ask("/open/x")[0], 503)
        (line,) = self.bench.list_lines("service_unreachable")
        self.assertEqual((line["known"], line["refused"]), (2, 2))
        made[0].socket = eventlet.listen(("127.0.0.1", made[0].port))
        self.addCleanup(made[0].socket.close)
        found = gateway_bench.wait_until(
            lambda: self.bench.list_lines("service_reached")
        )
        self.assertTrue(found)
