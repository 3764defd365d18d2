"""A gateway that gets most new connections serves what it reads.

Failure guarded against: the balancer sends nine of ten new connections to one gateway,
five times as many as usual, and its processor time is short; callers who are read get
no answer in time.
"""

import contextlib
import signal
import threading
import time
import unittest

from tests import prompt_parts, test_harmful_parts

#: Requests a second before and during the surge, and the share of one gateway.
RATE = 20.0
SURGE_RATE = 100.0
SURGE_SHARE = 0.9
CALM_SECONDS = 4.0
SURGE_SECONDS = 8.0
#: Seconds of the surge until the share of requests served counts, and that share.
CONTACT_SECONDS = 3.0
SERVED_SHARE = 0.75
#: Seconds for which the gateway runs, and for which it is stopped, in turn.
RUN_SECONDS = 0.05
STOP_SECONDS = 0.05


@contextlib.contextmanager
def limit_processor_time(process):
    """Let a process run for half of the time only."""
    ended = threading.Event()

    def alternate():
        while not ended.is_set():
            process.send_signal(signal.SIGSTOP)
            ended.wait(STOP_SECONDS)
            process.send_signal(signal.SIGCONT)
            ended.wait(RUN_SECONDS)

    thread = threading.Thread(target=alternate, daemon=True)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


class SurgeTest(test_harmful_parts.PartsCase):
    def check_surge(self):
        self.callers.choose = self.choose
        self.callers.start(SURGE_RATE, prompt_parts.make_sound)
        time.sleep(SURGE_SECONDS)
        self.callers.stop()
        before = [one for one in self.callers.results if one.began_at < self.surge_from]
        counted_from = self.surge_from + CONTACT_SECONDS
        during = [one for one in self.callers.results if one.began_at > counted_from]
        usual = sum(one.was_answered for one in before) / len(before)
        served = sum(one.was_answered for one in during)
        told = f"{served} of {len(during)}, before {usual}"
        self.assertGreaterEqual(served, SERVED_SHARE * usual * len(during), told)

    def choose(self, number):
        """Return the gateway of a connection: the first one for most of them."""
        names = self.system.gateways
        if number % 100 < SURGE_SHARE * 100:
            return names[0]
        return names[number % len(names)]

    def begin_calm(self):
        self.callers.start(RATE, prompt_parts.make_sound)
        time.sleep(CALM_SECONDS)
        self.surge_from = time.monotonic()

    def test_nine_of_ten_connections_at_one_gateway(self):
        self.begin_calm()
        self.check_surge()

    def test_nine_of_ten_connections_at_a_gateway_with_half_a_processor(self):
        self.begin_calm()
        with limit_processor_time(self.system.running[self.system.gateways[0]]):
            self.check_surge()


if __name__ == "__main__":
    unittest.main()
