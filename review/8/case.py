"""Small weights are rounded up to the same number: a part that should get a tenth of the requests gets half of them."""
import os
import sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from system import *

CASE = os.path.dirname(os.path.abspath(__file__))
REQUESTS = 300


async def play(system, trouble):
    usual_servers(system)
    await system.begin(configuration(1))
    weights = (0.0009, 0.0001) if trouble else (0.9, 0.1)
    change = configuration(2, None, {"traffic-split": [{"service": "desk", "weight": weights[0]},
                                                       {"service": "desk-new", "weight": weights[1]}]})
    if await system.change("PUT", 1, change) != 200:
        raise CannotRun("the change was not acknowledged")
    await asyncio.sleep(3.5)
    system.runs.clear()
    for number in range(REQUESTS):
        door = system.doors()[number % 3]
        status, _, _ = await call(door, "POST", f"/lookup/{number}",
                                  [("Host", "app.example"), ("Attempt-Id", f"{number:016x}"), ("Deadline-Ms", 1500)], b"x")
        if status != 200:
            raise CannotRun(f"a request got {status}")
    new = sum(1 for run in system.runs if run[1].startswith("i-new"))
    share, due = new / len(system.runs), weights[1] / sum(weights)
    system.record(f"{new} of {len(system.runs)} requests ran at desk-new: {share:.3f}; its weight's share is {due:.3f}")
    return abs(share - due) > 0.2


main(CASE, play)
