"""An operator gives batch jobs no limit in time, as the largest whole number: their items are given up after 3 s."""
import os
import sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from system import *

CASE = os.path.dirname(os.path.abspath(__file__))
NO_LIMIT_S = 9223372036854775807


async def play(system, trouble):
    usual_servers(system, gap_s=0.6, events=10)
    await system.begin(configuration(1, {"max-queue-s": 3600}))
    limit = NO_LIMIT_S if trouble else 7200
    if await system.change("PUT", 1, configuration(2, {"max-queue-s": limit})) != 200:
        raise CannotRun("the change was not acknowledged")
    await asyncio.sleep(2.5)
    ident, document = job(0, "m0", "/draft/", "app.example", "/score/", 8, 4, 8)
    host = [("Host", "app.example")]
    sent = time.monotonic()
    status, _, _ = await call(system.doors()[0], "POST", "/draft/" + ident, host + [("Attempt-Id", ident)],
                              json.dumps(document).encode())
    system.record(f"trainer: batch job {ident} of {len(document['requests'])} items: {status}")
    if status != 202:
        raise CannotRun("the batch job was not accepted")
    states = {}
    while time.monotonic() < sent + 20 and len(states) < len(document["requests"]):
        await asyncio.sleep(0.5)
        status, _, body = await call(system.doors()[1], "GET", f"/v1/lots/{ident}?after-seq=0", host)
        if status != 200:
            continue
        for result in json.loads(body)["results"]:
            if result["instance-id"] not in states:
                states[result["instance-id"]] = result["state"]
                system.record(f"trainer: {result['instance-id']} is {result['state']}, "
                              f"{time.monotonic() - sent:.1f} s after the batch job was sent")
    if len(states) < len(document["requests"]):
        raise CannotRun("not all items were listed")
    # No server answered 500 or 422, the batch job is open, its route is there, and `limit` seconds are not over.
    return "expired" in states.values()


main(CASE, play)
