"""Duties on real processes: one lease holder, and each request reported once."""

import contextlib
import json
import shutil
import signal
import tempfile
import time
import unittest

from tests import duty_platform, gateways
from trestlestall.daemon.directory import platform_client
from trestlestall.standins import processes

LEASE = 1.2
WINDOW = 1.0
KEY = "k" * 20


def make_document():
    """Return a declaration with a workspace whose usage is reported."""
    route = gateways.make_document(1)["routes"][0]
    return gateways.make_document(
        1,
        routes=[{**route, "public": False}],
        workspaces=[{"name": "basu", "keys": [KEY]}],
    )


class DutyCase(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="trestle-"))
        self.platform = duty_platform.Platform(LEASE)
        stack.callback(self.platform.stop)
        self.system = gateways.Deployment(folder)
        stack.callback(self.system.stop_all)
        self.system.settings["duties"] = {
            "platform": self.platform.address,
            "lease_seconds": LEASE,
            "window_seconds": WINDOW,
            "late_seconds": 6.0,
            "calls_per_second": 50.0,
        }
        self.upstream = gateways.Upstream("u1")
        stack.callback(self.upstream.stop)
        self.system.start_all()
        self.sent = 0
        self.assertEqual(self.system.declare(make_document()), 200)
        self.announce()
        for name in self.system.gateways:
            gateways.wait_until(lambda each=name: self.send(each) == 200, name)

    def announce(self):
        port = self.system.ports[self.system.names[0]]
        self.assertEqual(self.upstream.announce(port), 200)

    def send(self, gateway):
        """Send a request, and count it if it was answered 200."""
        status = gateways.ask(
            self.system.ports[gateway],
            "POST",
            "/work/x",
            b"body",
            Host="api",
            Trestlestall_Request=f"r{time.monotonic_ns()}",
            Authorization=f"Bearer {KEY}",
        ).status
        self.sent += status == 200
        return status

    def send_for(self, seconds):
        """Send requests through both gateways for a while."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for name in self.system.gateways:
                self.send(name)
            time.sleep(0.02)

    def find_holder(self):
        """Return the sender of the most recent call, or None."""
        calls = self.platform.record.calls
        return calls[-1].holder if calls else None

    def wait_for_reports(self):
        """Wait until all requests are reported, and check that no call was invalid."""
        gateways.wait_until(
            lambda: self.platform.count("basu") >= self.sent,
            f"{self.sent} reported; {self.platform.usage}",
            30.0,
        )
        self.assertEqual(self.platform.count("basu"), self.sent)
        self.assertEqual(self.platform.faults, [])


class ReportTest(DutyCase):
    def test_each_request_is_reported_once(self):
        self.send_for(2.5)
        self.wait_for_reports()

    def test_a_holder_that_is_killed_is_followed(self):
        self.send_for(1.5)
        gateways.wait_until(lambda: self.find_holder(), "a holder")
        holder = self.find_holder()
        self.system.running[holder].kill()
        self.send_for(1.5)
        self.wait_for_reports()
        self.assertNotEqual(self.find_holder(), holder)

    def test_a_holder_that_stands_still_does_nothing_afterwards(self):
        self.send_for(1.5)
        gateways.wait_until(lambda: self.find_holder(), "a holder")
        holder = self.find_holder()
        self.system.running[holder].send_signal(signal.SIGSTOP)
        try:
            gateways.wait_until(lambda: self.find_holder() != holder, "a successor")
        finally:
            self.system.running[holder].send_signal(signal.SIGCONT)
        self.send_for(1.0)
        self.wait_for_reports()

    def test_a_loss_of_all_processes_loses_no_count_that_was_synced(self):
        # A late-starting holder once closed windows before others sent their counts.
        self.send_for(1.0)
        time.sleep(0.5)
        for process in self.system.running.values():
            process.kill()
        self.system.start_all(founding=False)
        gateways.wait_until(lambda: self.try_announce(), "a directory")
        for name in self.system.gateways:
            gateways.wait_until(lambda each=name: self.send(each) == 200, name)
        self.wait_for_reports()

    def test_a_loss_of_all_processes_and_of_one_disk_loses_no_count(self):
        # Only the scheduling directory stored the counts of requests on its disk.
        self.send_for(1.0)
        time.sleep(1.0)
        for process in self.system.running.values():
            process.kill()
        placing = min(self.system.links, key=self.find_address)
        shutil.rmtree(self.system.folder / f"{placing}-data")
        self.system.start_all(founding=False)
        gateways.wait_until(lambda: self.try_announce(), "a directory")
        self.wait_for_reports()

    def find_address(self, name):
        """Return the address by which gateways identify a directory."""
        return f"{gateways.HOST}:{self.system.links[name]}"

    def try_announce(self):
        return self.upstream.announce(self.system.ports[self.system.names[0]]) == 200

    def test_a_platform_that_fails_gets_each_report_in_the_end(self):
        self.platform.script += [500, 429, 302, 503]
        self.send_for(1.0)
        self.platform.silent.set()
        self.send_for(1.0)
        self.platform.silent.clear()
        self.wait_for_reports()

    def test_no_call_is_made_after_a_higher_token_was_seen(self):
        # Guards against a holder that goes on with a token that was refused.
        self.check_superseded()

    def test_a_refusal_of_a_token_that_reaches_nobody(self):
        # Its caller has timed out, knows of no higher token, and repeats the call.
        self.platform.delay_seconds = platform_client.CALL_TIMEOUT_SECONDS + 0.3
        self.send_for(1.0)
        gateways.wait_until(lambda: self.find_holder(), "a holder")
        self.platform.script += [409]
        gateways.wait_until(lambda: self.list_refused(), "a refusal")
        self.platform.delay_seconds = 0.0
        self.check_superseded()

    def check_superseded(self):
        """Check that a holder whose token is refused makes no further call under it."""
        self.send_for(1.0)
        gateways.wait_until(lambda: self.find_holder(), "a holder")
        self.refuse_until_seen()
        self.send_for(1.0)
        self.wait_for_reports()
        (seen,) = self.list_superseded()
        refusal = self.list_refused()[-1]
        self.assertEqual(refusal.token, seen)
        later = [one for one in self.platform.calls if one.number > refusal.number]
        self.assertTrue(later)
        self.assertEqual([one for one in later if one.token <= seen], [])

    def refuse_until_seen(self):
        """Refuse calls for their token, one after another, until a holder has seen it.

        A refusal that is late, as this process is, reaches nobody.
        """
        end = time.monotonic() + gateways.WAIT_SECONDS
        while not self.list_superseded():
            self.assertLess(time.monotonic(), end, "no holder has seen a refusal")
            refused = len(self.list_refused())
            self.platform.script.append(409)
            gateways.wait_until(
                lambda count=refused: len(self.list_refused()) > count, "a refusal"
            )
            deadline = time.monotonic() + 2 * platform_client.CALL_TIMEOUT_SECONDS
            while not self.list_superseded() and time.monotonic() < deadline:
                self.send_for(0.1)

    def list_refused(self):
        return [one for one in list(self.platform.calls) if one.status == 409]

    def list_superseded(self):
        """Return the tokens that their holders know to be superseded."""
        return [
            one["token"]
            for process in self.system.running.values()
            for one in process.read_events()
            if one["name"] == "duties_superseded"
        ]


class LogTest(DutyCase):
    def test_the_logs_tell_what_was_done(self):
        self.send_for(1.5)
        self.wait_for_reports()
        names = set()
        for process in self.system.running.values():
            for line in processes.read_lines(process.log):
                names.add(json.loads(line).get("name"))
        wanted = {"duties_taken", "usage_fixed", "usage_reported"}
        self.assertLessEqual(wanted, names)


if __name__ == "__main__":
    unittest.main()
