"""Announcement, lease, renewal, leaving and failure of an upstream at one router."""

import unittest

from packages.membership.tests import samples
from trestlestall.membership import outcomes, table

NAME = samples.ENGINE.name
FIRST = samples.ENGINE.incarnation


def list_names(known: table.Table, now: float) -> list[str]:
    """Return the names of the upstreams that may get new work."""
    return [upstream.name for upstream in known.list_live(now)]


class LeaseTest(unittest.TestCase):
    def test_lease_runs_from_announcement_and_from_each_renewal(self) -> None:
        known = table.Table("a")
        known.announce(samples.ENGINE, 10.0)
        self.assertEqual(list_names(known, 12.9), [NAME])
        self.assertEqual(list_names(known, 13.0), [])
        answer = known.renew(NAME, FIRST, samples.make_report(1001.0), 12.0)
        self.assertEqual(answer, outcomes.Renewed(3.0))
        self.assertEqual(list_names(known, 14.9), [NAME])
        changes = known.expire(15.0)
        self.assertEqual([change.state for change in changes], ["expired"])
        self.assertEqual(known.expire(15.1), [])
