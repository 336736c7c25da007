"""The first start of a system whose three seeds are control machines without a disk: it never begins to work."""
import os
import sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from system import *

CASE = os.path.dirname(os.path.abspath(__file__))
WAIT_S = 60


async def play(system, trouble):
    usual_servers(system)
    control = [machine for machine in system.edges if "control" in machine.roles]
    system.seeds = [machine for machine in control if machine.disk != trouble]
    system.record("control machines: " + ", ".join(f"{m.name} ({'with' if m.disk else 'without'} a disk)" for m in control))
    system.record("seeds: " + ", ".join(machine.name for machine in system.seeds))
    await system.start_all()
    end = time.monotonic() + WAIT_S
    acknowledged = served = False
    body = json.dumps(configuration(1)).encode()
    number = 0
    while time.monotonic() < end and not served:
        if not acknowledged:
            acknowledged = await system.change("PUT", 0, body, limit_s=4) == 200
        for door in system.doors():
            number += 1
            status, _, _ = await call(door, "POST", f"/lookup/{number}", [
                ("Host", "app.example"), ("Attempt-Id", f"{number:016x}"), ("Deadline-Ms", 1500)], b"x", timeout=2)
            system.record(f"client: {number:016x} at {door[0]}: {status}")
            served |= status == 200
            if time.monotonic() > end:
                break
    ended = [key for key, process in system.processes.items() if process.poll() is not None]
    system.record(f"after {WAIT_S} s at most: acknowledged {acknowledged}, a request served {served}, "
                  f"servers' runs {len(system.runs)}, processes that ended by themselves {ended}")
    return not served


main(CASE, play, edges_per_zone=5)
