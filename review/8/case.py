"""The configuration that is read back has other numbers than the one that was sent and acknowledged."""
import os
import sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
from system import *

CASE = os.path.dirname(os.path.abspath(__file__))


async def play(system, trouble):
    usual_servers(system)
    await system.begin(configuration(1))
    # Two of thirteen parts of the traffic go to the new service, in percent.
    new = 200 / 13 if trouble else 15
    sent = configuration(2, None, {"traffic-split": [{"service": "desk", "weight": 100 - new},
                                                     {"service": "desk-new", "weight": new}]})
    body = json.dumps(sent).encode()
    system.record(f"operator: sends {json.dumps(sent['routes'][0]['traffic-split'])}")
    if await system.change("PUT", 1, body) != 200:
        raise CannotRun("the change was not acknowledged")
    await asyncio.sleep(2.5)
    different = False
    for address in system.controls():
        status, _, answered = await call(address, "GET", "/v1/configuration")
        if status != 200:
            raise CannotRun(f"the configuration could not be read: {status}")
        got = json.loads(answered)
        system.record(f"operator: reads version {got['config-version']} at {address[0]}: "
                      f"{json.dumps(got['routes'][0]['traffic-split'])}, equal to the one sent: {got == sent}")
        different |= got["config-version"] == sent["config-version"] and got != sent
    return different


main(CASE, play)
