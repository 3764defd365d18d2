"""A part of prompts that crashes upstreams must not crash more than a few.

Failure guarded against: requests that had one part in common, and of which no two were
alike, crashed 58 upstreams one after the other; sound ones found no upstream.
"""

import contextlib
import tempfile
import time
import unittest

from tests import gateways, prompt_parts

UPSTREAMS = 12
#: Crashes by a part in all, and the crash from which on its sends count; the last one
#: if there are fewer.
MOST_CRASHES = 8
KNOWN_CRASHES = 5
#: Seconds after it in which all processes learn of it, and the sends after these.
KNOWN_SECONDS = 3.0
MORE_SENDS = 1
#: Share of sound requests that begin at the first try, against before, from twice that
#: time on.
SOUND_SHARE = 0.98
SOUND_RATE = 20.0
FATAL_RATE = 4.0
BEFORE_SECONDS = 3.0
FATAL_SECONDS = 10.0


class PartsCase(unittest.TestCase):
    """Three directories, four gateways, and upstreams that parts may crash."""

    upstreams = UPSTREAMS

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
        self.fleet = prompt_parts.Fleet(ports, self.upstreams)
        stack.callback(self.fleet.stop)
        self.callers = prompt_parts.Callers(self.system)
        stack.callback(self.callers.stop)
        for name in self.system.gateways:
            gateways.wait_until(lambda one=name: self.knows_all(one), name)

    def knows_all(self, name):
        """Return whether a gateway has every upstream."""
        text = gateways.ask(self.system.ready[name], "GET", "/metrics").body.decode()
        wanted = f"trestlestall_forward_upstreams {float(self.upstreams)}"
        return wanted in text and self.system.is_ready(name)

    def begin(self, make_fatal, rate=FATAL_RATE, sound=prompt_parts.make_sound):
        """Send sound requests, and fatal ones some seconds later."""
        self.callers.start(SOUND_RATE, sound)
        time.sleep(BEFORE_SECONDS)
        self.fatal_from = time.monotonic()
        return self.callers.start(rate, make_fatal, prompt_parts.TRIES)

    def play(self, make_fatal, *arguments):
        """Send sound requests throughout, and fatal ones for some seconds."""
        stopped = self.begin(make_fatal, *arguments)
        time.sleep(FATAL_SECONDS)
        stopped.set()

    def check(self, *parts):
        """Check the bounds for each fatal part, and for sound requests."""
        self.callers.stop()
        known_at = 0.0
        for part in parts:
            crashes = self.fleet.crashes[part]
            known_at = max(known_at, crashes[:KNOWN_CRASHES][-1])
            limit = crashes[:KNOWN_CRASHES][-1] + KNOWN_SECONDS
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
        after = [one for one in sound if one.began_at > calm_from]
        self.assertGreater(len(after), SOUND_RATE)
        usual = sum(before) / len(before)
        failed = [one for one in after if not one.began]
        told = (
            f"{len(failed)} of {len(after)} did not begin, before {sum(before)} of"
            f" {len(before)} did: {failed}, crashes {self.fleet.crashes}, held"
            f" {self.callers.held[-20:]}"
        )
        began = len(after) - len(failed)
        self.assertGreaterEqual(began, SOUND_SHARE * usual * len(after), told)


class FewTest(PartsCase):
    upstreams = 5

    def test_a_part_crashes_few_where_upstreams_are_few(self):
        self.fleet.fatal = {prompt_parts.FATAL}
        self.play(prompt_parts.make_fatal, 2 * FATAL_RATE)
        self.check(prompt_parts.FATAL)


class FloodTest(PartsCase):
    def test_one_part_among_others_crashes_few_upstreams(self):
        self.fleet.fatal = {prompt_parts.FATAL}
        self.play(prompt_parts.make_fatal)
        self.check(prompt_parts.FATAL)

    def test_the_first_part_crashes_few_upstreams(self):
        self.fleet.fatal = {prompt_parts.FATAL}
        self.play(prompt_parts.make_fatal_first)
        self.check(prompt_parts.FATAL)

    def test_two_parts_at_the_same_time_crash_few_upstreams(self):
        self.fleet.fatal = {prompt_parts.FATAL, prompt_parts.OTHER_FATAL}
        self.play(prompt_parts.make_either)
        self.check(prompt_parts.FATAL, prompt_parts.OTHER_FATAL)

    def test_a_part_that_comes_seldom_crashes_few_upstreams(self):
        self.fleet.fatal = {prompt_parts.FATAL}
        self.play(prompt_parts.make_fatal, 1 / 1.5)
        self.check(prompt_parts.FATAL)

    def test_a_sound_part_always_beside_the_fatal_one_is_served(self):
        self.fleet.fatal = {prompt_parts.FATAL}
        self.play(prompt_parts.make_beside, FATAL_RATE, prompt_parts.make_sound_beside)
        self.check(prompt_parts.FATAL)

    def test_a_part_that_lets_some_events_be_written_first_crashes_few(self):
        self.fleet.fatal = {prompt_parts.FATAL}
        self.fleet.fatal_events = 2
        self.play(prompt_parts.make_fatal)
        self.check(prompt_parts.FATAL)

    def test_a_part_crashes_few_where_answers_end_with_their_connections(self):
        self.fleet.fatal = {prompt_parts.FATAL}
        self.fleet.is_framed = False
        self.play(prompt_parts.make_fatal)
        self.check(prompt_parts.FATAL)

    def test_a_part_among_brittle_upstreams_crashes_few(self):
        self.fleet.is_brittle = True
        self.fleet.fatal = {prompt_parts.FATAL}
        self.play(prompt_parts.make_fatal)
        self.check(prompt_parts.FATAL)


if __name__ == "__main__":
    unittest.main()
