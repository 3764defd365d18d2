"""A disk whose syncs are slow, as beside other programs that write much.

A module that Python imports at the start of each process delays its syncs. To the
process that is the same as a disk that is slow.
"""

import os
import pathlib

from trestlestall.standins import processes

SOURCE = """
import os, time

def delay(sync):
    def run(descriptor):
        time.sleep({seconds})
        sync(descriptor)
    return run

os.fsync, os.fdatasync = delay(os.fsync), delay(os.fdatasync)
"""


class Disk:
    """A disk of the processes that are started with ``variables``."""

    def __init__(self, folder, seconds):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(exist_ok=True)
        source = SOURCE.format(seconds=seconds)
        (self.folder / "sitecustomize.py").write_text(source)

    @property
    def variables(self):
        """Environment variables that its processes need."""
        paths = processes.make_environment()["PYTHONPATH"]
        return {"PYTHONPATH": os.pathsep.join([str(self.folder), paths])}
