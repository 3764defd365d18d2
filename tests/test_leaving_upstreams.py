"""An upstream that has said in an answer that it leaves gets no new request from there.

What users saw: a gateway passed on an answer that said that its upstream leaves, and
sent that upstream further requests 2.8 and 3.4 s later; 2 s are allowed.

Order of events: an upstream announced that it leaves; every gateway learned of it
within 0.1 s. The directory that placed requests had just been cut off from the other
directories and did not hear of it, but all gateways still reached it. It placed 20
requests at the upstream in the next seconds, and gateways sent them there.

Cause: a gateway sent wherever it was told, without a look at what it knew itself, and
told nobody; nor did it read what answers said. Evidence: the lines of the first play
have the row as draining at every gateway 3.7 s before the sends, all of which name that
directory as the source of the choice. The same with a directory that answers from an
older state: ``OverruledTest`` of packages/daemon/tests/test_gateway_notices.py. Here
nobody but the answers tells of the leave: announcements go on as if it served.
"""

import time

from tests import gateways, telling, test_stated_limits

#: Seconds after an answer that says so in which requests may still arrive.
DRAIN_SECONDS = 2.0
RATE_SECONDS = 5.0


def leave(gateway):
    """Say in an answer that the upstream leaves."""
    return telling.Said(headers={telling.LEAVING: "1"})


def list_late(upstream):
    """Return the requests that came too late after their gateway had been told."""
    told = {}
    late = []
    for one in upstream.list_arrivals():
        if one.at > told.get(one.gateway, one.at) + DRAIN_SECONDS:
            late.append(one)
        if telling.LEAVING in one.told:
            told.setdefault(one.gateway, one.at)
    return late


class LeavingTest(test_stated_limits.LimitCase):
    def test_it_gets_nothing_from_a_gateway_that_was_told(self):
        leaving = self.add("u1")
        staying = self.add("u2")
        self.wait_until_served()
        with self.callers.keep_asking(self.system.gateways):
            time.sleep(1.0)
            leaving.say = leave
            time.sleep(RATE_SECONDS)
            before = len(staying.list_arrivals())
        self.assertGreater(len(leaving.list_arrivals()), 0)
        self.assertEqual(list_late(leaving), [])
        self.assertGreater(before, 0)
        self.assertEqual(self.callers.list_unserved(), [])

    def test_its_next_start_under_the_same_name_serves(self):
        born = 1_790_000_000_000
        leaving = self.add("u1", leave, born)
        self.add("u2")
        self.wait_until_served()
        with self.callers.keep_asking(self.system.gateways):
            time.sleep(1.0)
            leaving.stop()
            back = self.add("u1", born=born + 1000)
            gateways.wait_until(
                lambda: len(back.list_arrivals()) > 5, "the next start gets requests"
            )

    def test_it_holds_though_the_gateways_directory_starts_again(self):
        leaving = self.add("u1")
        self.add("u2")
        self.wait_until_served()
        arbiter = self.find_arbiter()
        with self.callers.keep_asking(self.system.gateways):
            time.sleep(1.0)
            leaving.say = leave
            time.sleep(1.0)
            self.system.running[arbiter].kill()
            time.sleep(2.0)
            self.system.start_directory(arbiter)
            time.sleep(4.0)
        self.assertEqual(list_late(leaving), [])


class CutOffTest(test_stated_limits.RelayedCase):
    def test_it_gets_nothing_from_a_gateway_that_no_directory_answers(self):
        leaving = self.add("u1")
        self.add("u2")
        self.wait_until_served()
        with self.callers.keep_asking(self.system.gateways):
            time.sleep(1.0)
            with self.cut_off():
                time.sleep(1.5)
                leaving.say = leave
                time.sleep(RATE_SECONDS)
            time.sleep(3.0)
        told = [one for one in leaving.list_arrivals() if telling.LEAVING in one.told]
        self.assertGreater(len(told), 0)
        self.assertEqual(list_late(leaving), [])
