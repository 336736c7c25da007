"""CONFIG: items of batch jobs sent long after a route was moved to another service run at the old service."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins"))
from lab import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GROUPS, SIZE = 81, 4          # plan-draft: a batch job has 81 groups of 4 items
APPLY_S = 2.0                 # config-apply-ms

def events_of(id):
    """Lengths of texts: most have 5 to 24 events, one in fifty has 90 (the sheet: 21 events, a tail of 4 times that)."""
    x = int(hashlib.md5(id.encode()).hexdigest(), 16)
    return 90 if x % 50 == 0 else 5 + x % 20

async def case(lab):
    broken = []
    async def job(id):
        document = lab.job("/plan/", id, GROUPS, SIZE, desired=GROUPS)
        sent = now(); lab.record("job", id, "is sent")
        while await lab.submit(random.choice(lab.edges), "/plan/", id, document) != 202:
            if now() > sent + 20: raise CannotRun("no gateway takes job " + id)
            await asyncio.sleep(0.1)
        got = 0
        while got < GROUPS * SIZE and now() < sent + 20:
            status, _, body = await lab.read(random.choice(lab.edges), id, got)
            if status == 200: got = json.loads(body)["next-token"]
            else: await asyncio.sleep(0.2)
        lab.record("job", id, "has", got, "results"); await lab.end(random.choice(lab.edges), id)
        return sent

    document = lab.configuration(5)
    document["services"].insert(1, dict(document["services"][0], name="movemind2"))
    await lab.up(document)
    await job("before")
    allowed, acknowledged = "movemind", now()
    if TROUBLE:
        route = next(r for r in document["routes"] if r["name"] == "r-plan")
        change = {"config-version": 7, "upsert": {"routes": [dict(route, service="movemind2")]}}
        if await lab.patch(change, 5) != 200: raise CannotRun("the change was not taken")
        allowed, acknowledged = "movemind2", now()
        lab.record("version 7, which moves r-plan to movemind2, is acknowledged")
    await asyncio.sleep(2 * APPLY_S)
    sent = {id: await job(id) for id in ("after1", "after2", "after3")}
    service = {s.instance: s.service for s in lab.platform.servers}
    for at, instance, id, after, path in lab.runs:
        name = id.split("-")[0]
        if name in sent and sent[name] > acknowledged + APPLY_S and service[instance] != allowed:
            broken.append("CONFIG: at %.3f a server of %s began item %s (Last-Event-Id %d); its job was sent %.1f s after the "
                          "acknowledgement of the version by which only %s runs it" % (at, service[instance], id, after, sent[name] - acknowledged, allowed))
    return broken

lab = Lab(os.path.join(HERE, "record.txt"), doors=4, stores=3, movers=9, desks=3)
port = lab.movers[0].addr[1]
lab.movers += [Server(lab, 10 + i, "movemind2", ("127.0.4.%d" % (i + 11), port), lab.zones[i % 3], {"m0": 1, "m1": 1}) for i in range(9)]
for server in lab.movers: server.events_of = events_of
lab.platform.servers = lab.movers + lab.desks
run(case, lab)
