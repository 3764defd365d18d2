"""A harmful part stays known after losses, and a harmless one is never refused."""

import signal
import time
import unittest

from tests import prompt_parts, test_harmful_parts

#: Seconds between two crashes of other causes.
CRASH_SECONDS = 1.5
#: Share of requests that begin at the first try while upstreams crash by themselves.
SERVED_SHARE = 0.95


class LossTest(test_harmful_parts.PartsCase):
    def play_loss(self, lose):
        """Let processes be lost after the part is known, and requests go on."""
        self.fleet.fatal = {prompt_parts.FATAL}
        stopped = self.begin(prompt_parts.make_fatal)
        time.sleep(test_harmful_parts.KNOWN_SECONDS)
        lose()
        time.sleep(test_harmful_parts.FATAL_SECONDS)
        stopped.set()

    def restart(self, directories, gateways):
        """Kill these processes at the same moment and start them again."""
        for name in (*directories, *gateways):
            self.system.running[name].kill()
        for name in directories:
            self.system.start_directory(name)
        for name in gateways:
            self.system.start_gateway(name)

    def test_after_all_directories_and_most_gateways_were_lost(self):
        self.play_loss(
            lambda: self.restart(self.system.names, self.system.gateways[1:])
        )
        self.check(prompt_parts.FATAL)

    def test_after_all_power_was_lost(self):
        self.play_loss(lambda: self.restart(self.system.names, self.system.gateways))
        self.check(prompt_parts.FATAL)

    def test_while_no_directory_answers(self):
        for name in self.system.names:
            self.system.running[name].send_signal(signal.SIGSTOP)
        self.system.gateways = self.system.gateways[:1]
        self.fleet.fatal = {prompt_parts.FATAL}
        self.play(prompt_parts.make_fatal)
        for name in self.system.names:
            self.system.running[name].send_signal(signal.SIGCONT)
        self.callers.stop()
        crashes = len(self.fleet.crashes[prompt_parts.FATAL])
        self.assertLessEqual(crashes, test_harmful_parts.MOST_CRASHES)


class OtherCauseTest(test_harmful_parts.PartsCase):
    def check_none_refused(self):
        self.callers.stop()
        self.assertEqual(self.callers.held, [])
        began = [one.began for one in self.callers.results]
        told = f"{sum(began)} of {len(began)}"
        self.assertGreaterEqual(sum(began), SERVED_SHARE * len(began), told)

    def test_upstreams_that_crash_one_after_the_other_by_themselves(self):
        self.callers.start(test_harmful_parts.SOUND_RATE, prompt_parts.make_sound)
        for _ in range(10):
            time.sleep(CRASH_SECONDS)
            self.fleet.crash_some()
        self.check_none_refused()

    def test_a_third_of_all_crashes_at_one_moment(self):
        self.callers.start(test_harmful_parts.SOUND_RATE, prompt_parts.make_sound)
        for _ in range(3):
            time.sleep(4.0)
            self.fleet.crash_some(test_harmful_parts.UPSTREAMS // 3)
        time.sleep(1.0)
        self.check_none_refused()

    def test_a_part_that_does_no_harm_any_more_is_served_again(self):
        self.fleet.fatal = {prompt_parts.FATAL}
        self.play(prompt_parts.make_fatal)
        self.fleet.fatal = set()
        stopped = self.callers.start(1.0, prompt_parts.make_fatal)
        time.sleep(harmless_after(self.fleet))
        stopped.set()
        self.callers.stop()
        last = self.callers.results[-3:]
        self.assertTrue(all(one.was_answered for one in last), last)


def harmless_after(fleet):
    """Return the seconds until the hold of the fatal part is over, and some more."""
    crashed_at = max(fleet.crashes[prompt_parts.FATAL])
    return crashed_at + prompt_parts.HOLD_SECONDS + 5.0 - time.monotonic()


if __name__ == "__main__":
    unittest.main()
