"""A part of prompts that crashes upstreams must not crash more than a few.

Failure guarded against: requests of which no two were alike, but for one part, crashed 58
upstreams one after the other; sound ones of the same callers found no upstream.
"""

import contextlib
import tempfile
import time
import unittest

from tests import gateways, prompt_parts

UPSTREAMS = 12
#: Crashes by a part in all, and the crash from which on its sends count.
MOST_CRASHES = 8
KNOWN_CRASHES = 5
#: Seconds after it in which all processes learn of it, and the sends after these.
KNOWN_SECONDS = 3.0
MORE_SENDS = 1
#: Share of sound requests that begin at the first try, against before, twice that later.
SOUND_SHARE = 0.98
SOUND_RATE = 20.0
FATAL_RATE = 4.0
BEFORE_SECONDS = 3.0
FATAL_SECONDS = 10.0


class PartsCase(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="trestle-"))
        self.system = gateways.Deployment(folder, gateways=4)
        self.system.settings["retries"] = {"ratio": 0.2, "slack": 50.0}
        stack.callback(self.system.stop_all)
        self.system.start_all()
        self.assertEqual(self.system.declare(prompt_parts.make_document()), 200)
        ports = [self.system.ports[name] for name in self.system.names]
        self.fleet = prompt_parts.Fleet(ports, UPSTREAMS)
        stack.callback(self.fleet.stop)
        self.callers = prompt_parts.Callers(self.system)
        stack.callback(self.callers.stop)
        for name in self.system.gateways:
            gateways.wait_until(lambda one=name: self.knows_all(one), name)

    def knows_all(self, name):
        """Return whether a gateway has every upstream."""
        text = gateways.ask(self.system.ready[name], "GET", "/metrics").body.decode()
        wanted = f"trestlestall_forward_upstreams {float(UPSTREAMS)}"
        return wanted in text and self.system.is_ready(name)

    def play(self, make_fatal, rate=FATAL_RATE, seconds=FATAL_SECONDS, sound=None):
        """Send sound requests throughout, and fatal ones for some seconds."""
        self.callers.start(SOUND_RATE, sound or prompt_parts.make_sound)
        time.sleep(BEFORE_SECONDS)
        self.fatal_from = time.monotonic()
        stopped = self.callers.start(rate, make_fatal, prompt_parts.TRIES)
        time.sleep(seconds)
        stopped.set()

    def check(self, *parts):
        """Check the bounds for each fatal part, and for sound requests."""
        self.callers.stop()
        known_at = 0.0
        for part in parts:
            crashes = self.fleet.crashes.get(part, [])
            self.assertGreaterEqual(len(crashes), KNOWN_CRASHES)
            known_at = max(known_at, crashes[KNOWN_CRASHES - 1])
            limit = crashes[KNOWN_CRASHES - 1] + KNOWN_SECONDS
            late = [at for at in self.fleet.list_sends(part) if at > limit]
            told = f"{part}: {len(crashes)} crashes, {len(late)} sends later"
            with self.subTest(told):
                self.assertLessEqual(len(late), MORE_SENDS)
                self.assertLessEqual(len(crashes), MOST_CRASHES)
        with self.subTest("sound requests"):
            self.check_sound(known_at + 2 * KNOWN_SECONDS, parts)

    def check_sound(self, calm_from, fatal):
        """Check that sound requests begin as often as before."""
        sound = [
            one
            for one in self.callers.results
            if not set(fatal).intersection(one.parts)
        ]
        before = [one.began for one in sound if one.began_at < self.fatal_from]
        after = [one.began for one in sound if one.began_at > calm_from]
        self.assertGreater(len(after), SOUND_RATE)
        usual = sum(before) / len(before)
        told = f"{sum(after)} of {len(after)}, before {sum(before)} of {len(before)}"
        self.assertGreaterEqual(sum(after), SOUND_SHARE * usual * len(after), told)


class FloodTest(PartsCase):
    def test_one_part_among_others_crashes_few_upstreams(self):
        self.fleet.fatal = {prompt_parts.FATAL}
        self.play(prompt_parts.make_fatal)
        self.check(prompt_parts.FATAL)


if __name__ == "__main__":
    unittest.main()
