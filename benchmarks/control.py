"""Cost of control in an idle daemon, and cost of a refusal compared to an answer."""

from __future__ import annotations

import time
import urllib.request

from benchmarks.load import request_bytes, run_load
from benchmarks.path import FAST_TARGET
from benchmarks.processes import HOST, SIX_VM_LOCATIONS, Mesh
from benchmarks.report import Table

SLICES = 24
#: Time over which an idle mesh is measured, in seconds.
IDLE_S = 15.0
#: Duration of the load on a daemon, in seconds.
LOAD_S = 3.0
#: Share of one processor that control may take in an idle daemon.
BUDGET_CPU_SHARE = 0.025


def _document(slots: int, queue: int) -> dict:
    service = {"targets": "app=status", "slices": SLICES, "slots": slots}
    service |= {"short_slots": 0, "queue": queue, "deadline_ms": 1000}
    return {"services": {"status": service}}


def _datagrams(mesh: Mesh, number: int) -> int:
    """Return the datagrams that a daemon has sent, from its metrics."""
    port = mesh.base_port + 10 * (number + 1) + 2
    with urllib.request.urlopen(f"http://{HOST}:{port}/metrics", timeout=3) as answer:
        text = answer.read().decode()
    found = [line for line in text.splitlines() if 'direction="sent"' in line]
    return int(float(found[0].rsplit(" ", 1)[1]))


def measure_idle() -> Table:
    table = Table(
        "Control in an idle daemon, six daemons, defaults (log read every 0.1 s)",
        ("reads the log every", "CPU share", "of the budget", "datagrams sent/s", "MB"),
    )
    for read_s in ("0.1", "0.25", "1.0"):
        mesh = Mesh(SIX_VM_LOCATIONS, 23_000, daemon_flags=("--read-s", read_s))
        try:
            mesh.publish(_document(20, 64))
            mesh.wait_until_complete(SLICES)
            time.sleep(2.0)
            cpu = sum(d.cpu_s() for d in mesh.daemons)
            sent = _datagrams(mesh, 0)
            time.sleep(IDLE_S)
            cpu = (
                (sum(d.cpu_s() for d in mesh.daemons) - cpu)
                / len(SIX_VM_LOCATIONS)
                / IDLE_S
            )
            rate = (_datagrams(mesh, 0) - sent) / IDLE_S
            memory = max(d.resident_mb() for d in mesh.daemons)
            table.add(f"{read_s} s", cpu, cpu / BUDGET_CPU_SHARE, rate, memory)
        finally:
            mesh.end()
    return table


def measure_refusals() -> Table:
    table = Table(
        "A refusal compared to an answer, one daemon, 16 connections",
        ("outcome", "per second", "daemon's CPU us each", "over an answer"),
    )
    answer_cost = None
    for name, document, target in (
        ("answer", _document(100, 64), FAST_TARGET),
        ("refusal, queue full", _document(1, 1), "target"),
    ):
        mesh = Mesh(SIX_VM_LOCATIONS[:1], 23_500, target=target)
        try:
            mesh.publish(document)
            mesh.wait_until_complete(SLICES)
            requests = [request_bytes(f"/status/k{n}/look") for n in range(50)]
            cpu = mesh.daemons[0].cpu_s()
            result = run_load(mesh.caller_address(0), requests, 16, LOAD_S)
            cpu = mesh.daemons[0].cpu_s() - cpu
            cost = 1e6 * cpu / len(result.latencies_s)
            answer_cost = answer_cost or cost
            table.add(name, round(result.answers_per_s), cost, cost / answer_cost)
        finally:
            mesh.end()
    return table


def run() -> list[Table]:
    return [measure_idle(), measure_refusals()]
