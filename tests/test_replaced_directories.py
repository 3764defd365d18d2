"""Directories that are stopped or replaced, alone and before a disk is lost."""

import concurrent.futures
import dataclasses
import shutil
import tempfile
import time
import unittest

from tests import gateways

#: How long a successor runs before the replaced directory goes, in seconds.
CATCH_UP_SECONDS = 4.0
#: Longest time until the rest decides again once the lost one is back, in seconds.
RECOVERY_SECONDS = 12.0
AWAY_SECONDS = 1.0
#: Deployments of four or five processes that run at the same time.
SIDE_BY_SIDE = 2


@dataclasses.dataclass(frozen=True)
class Case:
    """Who is replaced and how, and whose disk is lost how many seconds later."""

    replaced: tuple[str, ...]
    planned: bool
    gone_seconds: float
    lost: str


CASES = (
    Case(("directory-0",), True, 3.1, "directory-1"),
    Case(("directory-0",), True, 0.1, "directory-1"),
    Case(("directory-0",), False, 0.1, "directory-1"),
    Case(("directory-0",), False, 3.1, "directory-3"),
    Case(("directory-0", "directory-2"), True, 0.1, "directory-1"),
)


class Deployment(gateways.Deployment):
    """Directories of which some are replaced."""

    def __init__(self, folder, case):
        super().__init__(folder, directories=3 + len(case.replaced), gateways=0)
        self.case = case
        self.new = self.names[3:]
        self.names = self.names[:3]
        self.first = self.first[:3]

    def play(self):
        """Replace and lose directories; return how long the rest took to decide."""
        self.start_all()
        self.declare(gateways.make_document(1))
        for old, new in zip(self.case.replaced, self.new, strict=True):
            self.replace(old, new)
        time.sleep(self.case.gone_seconds)
        self.declare(gateways.make_document(2))
        self.lose_disk(self.case.lost)
        back = time.monotonic()
        gateways.wait_until(self.reads_newest, f"{self.case} read", RECOVERY_SECONDS)
        self.declare(gateways.make_document(3))
        return time.monotonic() - back

    def replace(self, old, new):
        """Start the successor, and end the other one for good."""
        self.start_directory(new)
        self.names.append(new)
        time.sleep(CATCH_UP_SECONDS)
        gateways.wait_until(lambda: isinstance(self.read(new), dict), f"{new} reads")
        process = self.running[old]
        if self.case.planned:
            process.stop()
        else:
            process.kill()
        self.names.remove(old)

    def lose_disk(self, name):
        """Kill a directory, wipe its disk and start it again."""
        self.running[name].kill()
        shutil.rmtree(self.folder / f"{name}-data")
        time.sleep(AWAY_SECONDS)
        self.start_directory(name)

    def reads_newest(self):
        """Return whether some directory gives the newest document."""
        found = [self.read(name) for name in self.names]
        return any(isinstance(each, dict) and each["version"] == 2 for each in found)


def play(case):
    """Play a case; return how long the rest took to decide, in seconds."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, case)
        try:
            return deployment.play()
        except AssertionError as error:
            ends = [deployment.running[name].describe() for name in deployment.names]
            raise AssertionError("\n".join([str(error), *ends])) from error
        finally:
            deployment.stop_all()


class ReplacedTest(unittest.TestCase):
    def test_a_disk_lost_after_a_replacement_does_not_end_the_group(self):
        with concurrent.futures.ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
            taken = list(pool.map(play, CASES))
        self.assertLess(max(taken), RECOVERY_SECONDS)


class StoppedTest(unittest.TestCase):
    def test_a_directory_that_leads_hands_over_before_it_stops(self):
        """One that ends as the leader would not log ``leader_deposed``."""
        with tempfile.TemporaryDirectory() as folder:
            deployment = gateways.Deployment(folder, gateways=0)
            self.addCleanup(deployment.stop_all)
            deployment.start_all()
            deployment.declare(gateways.make_document(1))
            processes = [deployment.running[name] for name in deployment.names]
            elected = "leader_elected"
            gateways.wait_until(
                lambda: any(elected in each.read_log() for each in processes), elected
            )
            leader = next(each for each in processes if elected in each.read_log())
            leader.stop()
            names = [line["name"] for line in leader.read_events()]
            self.assertIn("leader_deposed", names[names.index("process_stopping") :])


if __name__ == "__main__":
    unittest.main()
