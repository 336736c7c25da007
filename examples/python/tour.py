"""A tour of the search door with the official OpenSearch client for Python, unchanged.

Starts three stand-in stores and a front node on loopback, asks them what a booking app would, and ends them again.
Usage: tour.py DIRECTORY_OF_THE_PROGRAM      (for instance target/release, after cargo build --release)
Needs: pip install -r requirements.txt
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from opensearchpy import OpenSearch
from opensearchpy.exceptions import ConflictError, NotFoundError, RequestError, TransportError

ROUTES = """
[index.job-history]
grade = "job-history"
create = "slot-hold"
slices = "routing"
fields = { customer = "keyword", crew = "long", start = "date", notes = "text" }

[index.vans]
grade = "van-search"
slices = "all"
fields = { plate = "keyword", depot = "keyword" }

[[stores]]
flavor = "os-*"
wire = "search"
"""
SLICES = 3


def grade(name, effect):
    return {"name": name, "effect": effect, "objectiveNs": 400_000_000, "deadlineNs": 1_500_000_000,
            "lateWorth": 0.3, "windowNs": 2_000_000_000}


def settings():
    return {
        "classes": [grade("job-history", "pure"), grade("van-search", "pure"), grade("slot-hold", "token")],
        "extra": {"positions": SLICES, "reach": 1, "slices": SLICES, "classFloor": [1.0, 0.6, 1.0],
                  "wholeAt": [1.0, 1.0, 1.0], "shortWorth": [0.0, 0.6, 0.0]},
        "limits": {"attemptsCap": 4, "cancel": True, "secondCopies": True, "probes": True,
                   "connectTimeoutNs": 100_000_000, "retryAfter": True, "maxRetryAfterNs": 500_000_000},
        "resolutionNs": 2_000_000,
    }


class Stage:
    """The stores and the node, ended with the block."""

    def __init__(self, programs, folder):
        self.program, self.folder, self.running = str(Path(programs) / "orchidvalve"), Path(folder), []

    def __enter__(self):
        try:
            return self.begin()
        except BaseException:
            self.__exit__()
            raise

    def __exit__(self, *_):
        for process in self.running:
            process.kill()
            process.wait()

    def start(self, stream, *words):
        process = subprocess.Popen([self.program, *words], **{stream: subprocess.PIPE}, text=True)
        self.running.append(process)
        seen = []
        for line in getattr(process, stream):
            seen.append(line.strip())
            if "listening on" in line:
                return seen[-1].rsplit(" ", 1)[1]
        raise SystemExit(f"{words[0]} did not start: {seen}")

    def begin(self):
        routes, documents = self.folder / "search.toml", self.folder / "vans.ndjson"
        routes.write_text(ROUTES)
        vans = [{"index": "vans", "id": f"v{n}", "document": {"plate": f"AB{n}", "depot": f"d{n % 4}"}}
                for n in range(30)]
        documents.write_text("".join(json.dumps(van) + "\n" for van in vans))
        members = []
        for n in range(SLICES):
            # One store never answers for one depot, and all of them fail for another.
            trouble = ["--trouble", "busy-depot=error"] + (["--trouble", "far-depot=silent"] if n == 2 else [])
            address = self.start("stdout", "standin", "--routes", str(routes), "--slices", str(SLICES),
                                 "--documents", str(documents), *trouble)
            members.append({"id": f"s-{n}", "host_port": address, "cell": n, "phase": "up", "flavor": "os-1",
                            "up_since_ms": 0})
        config = self.folder / "node.json"
        config.write_text(json.dumps({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": 64, "sockets": 256}, "search": str(routes),
            "known": {"revision": 1, "complete": True, "members": members}, "settings": settings()}))
        host, port = self.start("stderr", "node", "--config", str(config)).rsplit(":", 1)
        return OpenSearch(hosts=[{"host": host, "port": int(port)}], max_retries=0, timeout=10)


def check(what, holds, seen):
    if not holds:
        raise SystemExit(f"{what}: not so: {seen}")
    print(f"{what}: yes")


def tour(client):
    check("the node tells its name", client.info()["name"] == "n1", client.info())
    check("the index is there", client.indices.exists(index="job-history"), None)

    job = {"customer": "c7", "crew": 3, "start": "2026-11-28T08:00:00Z", "notes": "piano, two stairs"}
    for attempt in ("first", "again"):
        told = client.create(index="job-history", id="job-1", body=job, params={"routing": "c7"})
        check(f"a job is put in ({attempt})", told["result"] == "created", told)

    query = {"query": {"bool": {"must": [{"match": {"notes": "piano"}}],
                                "filter": [{"range": {"start": {"gte": "2026-11-01", "lt": "2026-12-01"}}}]}}}
    told = client.search(index="job-history", body=query, params={"routing": "c7"})
    check("it is found, once", [hit["_id"] for hit in told["hits"]["hits"]] == ["job-1"], told)
    check("the answer is whole", not told["timed_out"] and told["_shards"]["failed"] == 0, told)

    told = client.count(index="vans", body={"query": {"terms": {"depot": ["d1", "d2"]}}})
    check("vans are counted over all slices", told["count"] == 15, told)

    try:
        client.search(index="vans", body={"query": {"fuzzy": {"plate": "AB"}}})
        check("a query that cannot be mapped is refused", False, None)
    except RequestError as refused:
        check("a query that cannot be mapped is refused with its path", "query.fuzzy" in str(refused.info), refused)
    try:
        client.search(index="lorries", body={})
        check("an unknown index is refused", False, None)
    except NotFoundError as refused:
        check("an unknown index is refused", refused.error == "index_not_found_exception", refused)

    # Nothing is at that depot: the words only make the store fall silent. The client keeps the parameter "timeout"
    # for its own connection, so that of the search stands in the body.
    far = {"query": {"bool": {"must_not": [{"term": {"depot": "far-depot"}}]}}, "size": 50, "timeout": "700ms"}
    told = client.search(index="vans", body=far)
    shards = told["_shards"]
    check("a short answer says so", told["timed_out"] and shards["failed"] == 1, told)
    check("it names the slice", [f["shard"] for f in shards["failures"]] == [2], shards)
    check("it claims no more than it has", told["hits"]["total"]["relation"] == "gte", told["hits"]["total"])
    try:
        client.search(index="vans", body=far,
                      params={"allow_partial_search_results": "false"})
        check("all or nothing gets nothing", False, None)
    except TransportError as dismissed:
        check("all or nothing gets nothing", dismissed.status_code == 429, dismissed)

    busy = {"query": {"bool": {"must_not": [{"term": {"depot": "busy-depot"}}]}}}
    try:
        client.search(index="vans", body=busy)
        check("what no store can answer is dismissed", False, None)
    except TransportError as dismissed:
        check("what no store can answer is dismissed", dismissed.status_code == 429, dismissed)

    lines = [{}, {"query": {"term": {"plate": "AB7"}}}, {}, {"query": {"trem": {}}}, {}, far, {}, busy]
    told = client.msearch(index="vans", body=lines)["responses"]
    ends = [response["status"] for response in told]
    check("each line of an msearch has its own end", ends == [200, 400, 200, 429], told)
    check("and its own answer", told[0]["hits"]["total"]["value"] == 1 and told[2]["timed_out"], told)
    try:
        client.create(index="vans", id="v99", body={"plate": "X"})
        check("an index that takes no documents refuses them", False, None)
    except (RequestError, ConflictError) as refused:
        check("an index that takes no documents refuses them", refused.status_code == 400, refused)


if __name__ == "__main__":
    if len(sys.argv) != 2:
        raise SystemExit(__doc__)
    with tempfile.TemporaryDirectory() as folder, Stage(sys.argv[1], folder) as node:
        tour(node)
    print("the tour is over")
