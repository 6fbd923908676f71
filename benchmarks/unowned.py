"""Time for which no target holds a key after faults of the router, in virtual time.

Six routers and their targets run in the simulated mesh of the ownership tests. After
each event, the number of keys that targets hold is sampled every 0.1 s. The results are
the time until all keys are held for good, and the mean time without a holder of the
keys that the event affects.
"""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.report import Table, quantile
from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.ownership.records import TargetState
from tests.core.ownership.mesh import OwnershipMesh

VMS = 6
SEEDS = range(24)
#: Virtual time of the event, in seconds; until then all keys get their first holders.
WARMUP_S = 14.0
#: Time after the event in which the keys are sampled, in seconds.
OBSERVATION_S = 24.0
#: Time between two samples, in seconds.
SAMPLE_INTERVAL_S = 0.1


def _lose_vms(mesh: OwnershipMesh, *numbers: int) -> None:
    for number in numbers:
        mesh.daemons[number].kill()
        mesh.daemons[number].target.is_up = False


def _restart_routers(mesh: OwnershipMesh, numbers: range, after_s: float) -> None:
    for number in numbers:
        mesh.daemons[number].kill()
        mesh.simulation.after(after_s, mesh.daemons[number].start)


def _stop_target(mesh: OwnershipMesh) -> None:
    mesh.daemons[0].target.is_up = False


def _announce_departure(mesh: OwnershipMesh) -> None:
    mesh.daemons[0].target.state = TargetState.LEAVING


def _freeze_router(mesh: OwnershipMesh) -> None:
    daemon = mesh.daemons[0]
    daemon.is_frozen = True
    mesh.simulation.after(2.0, lambda: setattr(daemon, "is_frozen", False))


def _make_store_unavailable(mesh: OwnershipMesh) -> None:
    mesh.log.down = True
    mesh.simulation.after(8.0, lambda: setattr(mesh.log, "down", False))


EVENTS: dict[str, Callable[[OwnershipMesh], None]] = {
    "a target stops responding": _stop_target,
    "a VM is lost": lambda mesh: _lose_vms(mesh, 0),
    "a VM and one of its witnesses are lost": lambda mesh: _lose_vms(mesh, 0, 1),
    "four of six VMs are lost": lambda mesh: _lose_vms(mesh, 0, 1, 2, 3),
    "a router is ended for 1.5 s": lambda mesh: _restart_routers(mesh, range(1), 1.5),
    "all routers are ended for 1.5 s": lambda mesh: _restart_routers(
        mesh, range(VMS), 1.5
    ),
    "a router is frozen for 2 s": _freeze_router,
    "a target leaves": _announce_departure,
    "the store is unavailable for 8 s": _make_store_unavailable,
}


def _run_scenario(
    seed: int, event: Callable[[OwnershipMesh], None]
) -> tuple[float, float]:
    """Run the simulation with one event.

    Returns
    -------
    float
        Time from the event until all keys are held for good, in seconds.
    float
        Mean time without a holder of the affected keys, in seconds. Their number is
        the largest number of keys that no target held in a sample.

    Raises
    ------
    AssertionError
        If two targets held the same key at the same time.
    """
    mesh = OwnershipMesh(seed, VMS)
    mesh.simulation.run_until(WARMUP_S)
    event(mesh)
    all_held_after_s = missing_key_s = 0.0
    fewest_held = KEY_COUNT
    for sample in range(1, int(OBSERVATION_S / SAMPLE_INTERVAL_S)):
        mesh.simulation.run_until(WARMUP_S + sample * SAMPLE_INTERVAL_S)
        held = sum(mesh.owners().values())
        if held < KEY_COUNT:
            all_held_after_s = sample * SAMPLE_INTERVAL_S
            missing_key_s += (KEY_COUNT - held) * SAMPLE_INTERVAL_S
            fewest_held = min(fewest_held, held)
    if mesh.overlaps:
        raise AssertionError(f"seed {seed}: {mesh.overlaps[0]}")
    affected_keys = KEY_COUNT - fewest_held
    return all_held_after_s, missing_key_s / affected_keys if affected_keys else 0.0


def run() -> list[Table]:
    """Return the table."""
    header = ("event", "all held p50 s", "p99 s", "max s", "mean s without a holder")
    table = Table("Keys without a holder, six routers, virtual time", header)
    for name, event in EVENTS.items():
        results = [_run_scenario(seed, event) for seed in SEEDS]
        times = [all_held_after_s for all_held_after_s, _ in results]
        mean_s = sum(without_holder_s for _, without_holder_s in results) / len(results)
        quantiles = [quantile(times, share) for share in (0.5, 0.99)]
        table.add(name, *quantiles, max(times), mean_s)
    return [table]
