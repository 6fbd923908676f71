"""Rate and latency of requests: straight to a target, through its daemon, with one hop.

A request takes a hop if the daemon that it reaches is not the owner of its key's slice.
"""

from __future__ import annotations

from benchmarks.load import LoadResult, request_bytes, run_load
from benchmarks.processes import Mesh
from benchmarks.report import Table, quantile
from rhubarbhall.core.slices import slice_of_key

SLICES = 16
#: Duration of each measurement, in seconds.
SECONDS = 2.5
FAST_TARGET = "benchmarks.fast_target"
DOCUMENT = {
    "services": {
        "status": {"targets": "app=status", "slices": SLICES, "slots": 100},
    }
}
#: Region and failure domain of each VM.
VM_LOCATIONS = [("idukki", "i1"), ("idukki", "i2")]


def _requests(owned_slices: set[int]) -> list[bytes]:
    """Return at most 50 requests whose keys are in these slices."""
    keys = [f"batch-{n}" for n in range(400)]
    owned_keys = [key for key in keys if slice_of_key(key, SLICES) in owned_slices]
    return [request_bytes(f"/status/{key}/look") for key in owned_keys[:50]]


def _add_row(table: Table, name: str, connections: int, result: LoadResult, cpu: float):
    table.add(
        name,
        connections,
        round(result.answers_per_s),
        1000 * quantile(result.latencies_s, 0.5),
        1000 * quantile(result.latencies_s, 0.99),
        1e6 * cpu / max(1, len(result.latencies_s)),
        result.not_ok_count,
    )


def run() -> list[Table]:
    mesh = Mesh(VM_LOCATIONS, 21_000, target=FAST_TARGET)
    table = Table(
        "Requests through a daemon (loopback, fast target, one client process)",
        (
            "path",
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
        mesh.wait_until_complete(SLICES)
        owned_slices = {int(each.split("/")[1]) for each in mesh.dump(0)["served"]}
        local_requests = _requests(owned_slices)
        remote_requests = _requests(set(range(SLICES)) - owned_slices)
        memory.add("daemon, idle", mesh.daemons[0].resident_mb())
        for connections in (1, 16, 64):
            for name, address, requests in (
                ("straight to the target", mesh.target_address(0), local_requests),
                ("local target", mesh.caller_address(0), local_requests),
                ("one hop", mesh.caller_address(0), remote_requests),
            ):
                before = sum(d.cpu_s() for d in mesh.daemons)
                result = run_load(address, requests, connections, SECONDS)
                cpu = sum(d.cpu_s() for d in mesh.daemons) - before
                _add_row(table, name, connections, result, cpu)
        memory.add("daemon, after load", mesh.daemons[0].resident_mb())
        memory.add("target", mesh.targets[0].resident_mb())
        memory.add("log", mesh.log.resident_mb())
    finally:
        mesh.end()
    return [table, memory]
