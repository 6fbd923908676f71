"""Time for which keys are unavailable when daemons fail, with real processes.

The faults are the loss, the pause and the planned stop of a daemon. Two further tables
show false takeovers after short pauses, and service while the log is down.
"""

from __future__ import annotations

import signal
import threading
import time
from dataclasses import dataclass, field

from benchmarks.plots import plot_takeover
from benchmarks.prober import Prober
from benchmarks.processes import SIX_VM_LOCATIONS, Mesh
from benchmarks.report import Table, quantile
from rhubarbhall.audit import find_double_owners, find_repeats
from rhubarbhall.standins.target import Execution

SLICES = 24
DOCUMENT = {
    "services": {
        "status": {
            "targets": "app=status",
            "slices": SLICES,
            "hold_ms": 5000,
            "deadline_ms": 6000,
            "routes": [{"path": "/credit", "idempotency_key": "required"}],
        },
    }
}
#: Rounds of each fault, and of each duration of a pause.
ROUNDS = 30
#: Pause after each round, in seconds, before the check that the mesh is complete.
ROUND_PAUSE_S = 2.5
#: Durations, in seconds, of pauses after which a daemon must keep its slices.
PAUSES_S = (0.2, 0.5, 0.9)
#: Time for which the log is down, in seconds.
OUTAGE_S = 60.0


@dataclass
class _FaultResult:
    """Results of all rounds with one fault."""

    unavailable_s: list[float] = field(default_factory=list)
    lost: int = 0


def run() -> list[Table]:
    mesh = Mesh(SIX_VM_LOCATIONS, 22_000)
    table = Table(
        f"Unavailable time of a key, {ROUNDS} rounds each, six daemons, target 2 s",
        (
            "fault",
            "p50 s",
            "p99 s",
            "max s",
            "requests lost",
            "run twice",
            "two owners",
        ),
    )
    moves = Table(
        "Slices that moved, and slices that had to move", ("fault", "moved", "had to")
    )
    pauses = Table("False takeovers", ("pause s", "rounds", "members ended"))
    outage = Table("Log down", ("seconds", "requests", "answered", "share answered"))
    unavailable_by_fault: dict[str, list[float]] = {}
    try:
        mesh.publish(DOCUMENT)
        mesh.wait_until_complete(SLICES)
        prober = Prober([mesh.caller_address(n) for n in range(len(SIX_VM_LOCATIONS))])
        for name, fault in (
            ("kill -9 of a daemon", _kill),
            ("SIGSTOP for 3 s", _freeze),
            ("SIGTERM", _stop),
        ):
            unavailable_by_fault[name] = _measure(
                mesh, prober, name, fault, table, moves
            )
        plot_takeover(unavailable_by_fault)
        for pause_s in PAUSES_S:
            _measure_pauses(mesh, pause_s, pauses)
        _measure_outage(mesh, prober, outage)
    finally:
        mesh.end()
    return [table, moves, pauses, outage]


def _kill(mesh: Mesh, number: int) -> None:
    mesh.daemons[number].send(signal.SIGKILL)
    mesh.daemons[number].popen.wait()
    time.sleep(2.5)
    mesh.daemons[number].restart()


def _freeze(mesh: Mesh, number: int) -> None:
    mesh.daemons[number].send(signal.SIGSTOP)
    time.sleep(3.0)
    mesh.daemons[number].send(signal.SIGCONT)


def _stop(mesh: Mesh, number: int) -> None:
    mesh.daemons[number].send(signal.SIGTERM)
    mesh.daemons[number].popen.wait(timeout=30)
    mesh.daemons[number].restart()


def _measure(mesh, prober, name, fault, table, moves) -> list[float]:
    """Add the results of all rounds with one fault to both tables.

    Returns
    -------
    list of float
        Longest time in each round for which a key was unavailable, in seconds.
    """
    result = _FaultResult()
    moved = required_moves = 0
    for number in range(ROUNDS):
        victim = number % len(SIX_VM_LOCATIONS)
        before = _owners(mesh, skip=victim)
        served_count = len(mesh.dump(victim)["served"])
        prober.begin(avoid=mesh.caller_address(victim) if fault is not _stop else None)
        time.sleep(0.3)
        worker = threading.Thread(target=fault, args=(mesh, victim))
        worker.start()
        time.sleep(2.2)
        # A killed or paused daemon is still away here, so only takeovers moved slices.
        after = _owners(mesh, skip=victim)
        worker.join()
        probes = prober.end()
        result.unavailable_s.append(probes.longest_unavailable_s)
        result.lost += probes.lost
        moved += sum(before.get(ref) != owner for ref, owner in after.items())
        required_moves += served_count
        time.sleep(ROUND_PAUSE_S)
        _wait_complete(mesh)
    executions = _executions(mesh)
    table.add(
        name,
        quantile(result.unavailable_s, 0.5),
        quantile(result.unavailable_s, 0.99),
        max(result.unavailable_s),
        result.lost,
        len(find_repeats(executions)),
        len(find_double_owners(executions)),
    )
    moves.add(name, moved, required_moves)
    return result.unavailable_s


def _wait_complete(mesh: Mesh) -> None:
    mesh.wait_until_complete(SLICES, 60.0)


def _owners(mesh: Mesh, skip: int) -> dict[str, int]:
    """Return the number of the daemon that serves each slice, without daemon `skip`."""
    owner_by_slice: dict[str, int] = {}
    for number in range(len(SIX_VM_LOCATIONS)):
        if number == skip:
            continue
        for ref in mesh.dump(number)["served"]:
            owner_by_slice[ref] = number
    return owner_by_slice


def _executions(mesh: Mesh) -> list[Execution]:
    return [
        Execution(**each)
        for number in range(len(SIX_VM_LOCATIONS))
        for each in mesh.executions(number)
    ]


def _measure_pauses(mesh: Mesh, pause_s: float, table: Table) -> None:
    """Count the members that ended because of pauses too short for a takeover."""
    before = _members(mesh)
    for number in range(ROUNDS):
        daemon = mesh.daemons[number % len(SIX_VM_LOCATIONS)]
        daemon.send(signal.SIGSTOP)
        time.sleep(pause_s)
        daemon.send(signal.SIGCONT)
        time.sleep(0.6)
    time.sleep(2.0)
    table.add(pause_s, ROUNDS, len(before - _members(mesh)))


def _members(mesh: Mesh) -> set[str]:
    return {each["member"] for each in mesh.dump(0)["members"]}


def _measure_outage(mesh: Mesh, prober: Prober, table: Table) -> None:
    mesh.set_log_faults("down")
    prober.begin()
    time.sleep(OUTAGE_S)
    probes = prober.end()
    mesh.set_log_faults("none")
    table.add(OUTAGE_S, probes.sent, probes.answered, probes.answered / probes.sent)
