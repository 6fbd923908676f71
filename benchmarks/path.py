"""Requests through a daemon: straight, to its own target, with one hop."""

from __future__ import annotations

from benchmarks.load import LoadResult, request_bytes, run_load
from benchmarks.processes import Mesh
from benchmarks.report import Table, quantile
from rhubarbhall.core.slices import slice_of_key

SLICES = 16
SECONDS = 2.5
FAST_TARGET = "benchmarks.fast_target"
DOCUMENT = {
    "services": {
        "status": {"targets": "app=status", "slices": SLICES, "slots": 100},
    }
}
PLACES = [("idukki", "i1"), ("idukki", "i2")]


def _requests(owned: set[int]) -> list[bytes]:
    keys = [f"batch-{n}" for n in range(400)]
    mine = [key for key in keys if slice_of_key(key, SLICES) in owned]
    return [request_bytes(f"/status/{key}/look") for key in mine[:50]]


def _row(table: Table, name: str, connections: int, result: LoadResult, cpu: float):
    table.add(
        name,
        connections,
        round(result.per_s),
        1000 * quantile(result.latencies_s, 0.5),
        1000 * quantile(result.latencies_s, 0.99),
        1e6 * cpu / max(1, len(result.latencies_s)),
        result.wrong,
    )


def run() -> list[Table]:
    mesh = Mesh(PLACES, 21_000, target=FAST_TARGET)
    table = Table(
        "Requests through a daemon (loopback, fast target, one client process)",
        (
            "way",
            "connections",
            "answers/s",
            "p50 ms",
            "p99 ms",
            "daemons' CPU us a request",
            "not 200",
        ),
    )
    memory = Table("Resident memory", ("process", "MB"))
    try:
        mesh.publish(DOCUMENT)
        mesh.wait_served(SLICES)
        owned = {int(each.split("/")[1]) for each in mesh.dump(0)["served"]}
        own = _requests(owned)
        foreign = _requests(set(range(SLICES)) - owned)
        memory.add("daemon, idle", mesh.daemons[0].resident_mb())
        for connections in (1, 16, 64):
            for name, address, requests in (
                ("straight to the target", mesh.target_address(0), own),
                ("own target", mesh.calls(0), own),
                ("one hop", mesh.calls(0), foreign),
            ):
                before = sum(d.cpu_s() for d in mesh.daemons)
                result = run_load(address, requests, connections, SECONDS)
                cpu = sum(d.cpu_s() for d in mesh.daemons) - before
                _row(table, name, connections, result, cpu)
        memory.add("daemon, after load", mesh.daemons[0].resident_mb())
        memory.add("target", mesh.targets[0].resident_mb())
        memory.add("log", mesh.log.resident_mb())
    finally:
        mesh.end()
    return [table, memory]
