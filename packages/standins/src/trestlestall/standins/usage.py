"""Resource usage of a process, read from ``/proc``."""

import dataclasses
import os
import pathlib

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIB = 1024


@dataclasses.dataclass(frozen=True)
class Usage:
    """Processor time in seconds, and resident memory in bytes."""

    cpu: float
    memory: int


def read(pid: int) -> Usage:
    """Return the usage of the process.

    ``cpu`` counts user and system time in whole ticks, usually of 10 ms.
    """
    folder = pathlib.Path(f"/proc/{pid}")
    # The second field is the program's name in brackets, which may contain blanks.
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    lines = (folder / "status").read_text().splitlines()
    memory = next(line for line in lines if line.startswith("VmRSS:"))
    return Usage(ticks / TICKS_PER_SECOND, int(memory.split()[1]) * KIB)
