"""A core machine is replaced as planned; then another one loses its disk."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import fleet as fleets  # noqa: E402

#: ``catch_up_s`` of the site, with a margin in favour of the system.
CATCH_UP_SECONDS = 4.5
#: How long core-1 has been gone when the disk is lost: over ``contact_ms``.
GONE_SECONDS = 3.1
#: How long the operator reads back: many times ``contact_ms``, and ``recovery_s``.
READ_SECONDS = 25.0


async def replace_first(fleet):
    """Replace core-1 as planned: the new machine first, then SIGTERM."""
    first = fleet.machines["core-1"]
    seeds = fleet.list_seeds()
    new = fleet.add("core-4", "directory", first.zone)
    new.start(seeds, bootstrap=False)
    fleet.note("core-4 starts with an empty disk, to replace core-1")
    await asyncio.sleep(CATCH_UP_SECONDS)
    version, status = await fleet.read(new)
    fleet.note(f"core-4 reads back version {version} ({status}); SIGTERM to core-1")
    if version != 1:
        raise fleets.CouldNotRun("the successor has not caught up")
    await first.stop()
    del fleet.machines["core-1"]
    fleet.note(f"core-1 has ended by itself, status {first.process.poll()}")
    await asyncio.sleep(GONE_SECONDS)


async def lose_disk(fleet):
    """Let one machine lose its disk right after it acknowledged a change."""
    status = await fleet.declare(fleets.make_document(2), 10.0)
    if status != 200:
        raise fleets.CouldNotRun(f"version 2 got {status}")
    victim = fleet.machines["core-2"]
    if not fleets.has_trouble():
        fleet.note("TROUBLE=0: no disk is lost")
        return
    victim.kill()
    victim.wipe()
    fleet.note("core-2 has lost power and its disk")
    await asyncio.sleep(1.0)
    victim.start(fleet.list_seeds(), bootstrap=False)
    fleet.note("core-2 is back at its address with an empty disk")


async def case(fleet):
    """Return 1 if the acknowledged configuration can't be read back any more."""
    await fleet.start(fleets.make_document(1), core=3, fronts=1)
    fleet.note("version 1 is acknowledged")
    await asyncio.sleep(2.0)
    await replace_first(fleet)
    await lose_disk(fleet)
    deadline = time.monotonic() + READ_SECONDS
    while time.monotonic() < deadline:
        for machine in fleet.core:
            version, status = await fleet.read(machine)
            fleet.note(f"GET at {machine.name}: {status}, version {version}")
            if version == 2:
                fleet.note("held: version 2 is read back")
                return fleets.HELD
        await asyncio.sleep(1.0)
    status = await fleet.declare(fleets.make_document(3), 5.0)
    fleet.note(f"a new configuration gets {status or 'no acknowledgement'}")
    fleet.note("BROKEN: no machine gives version 2, which was acknowledged")
    return fleets.BROKEN


if __name__ == "__main__":
    fleets.run(case, HERE)
