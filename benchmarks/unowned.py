"""Time for which keys have no holder on the platform, by what happens, in virtual time.

Six routers and their targets on the virtual mesh of the ownership test. After each
event, every tenth of a second tells how many keys a target holds; the time until all
are held for good is taken, and that of a mean key of those concerned without a holder.
"""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.report import Table, quantile
from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.ownership.records import TargetState
from tests.core.ownership.mesh import OwnershipMesh

VMS = 6
SEEDS = range(24)
SETTLED_S = 14.0
WATCHED_S = 24.0
LOOK_S = 0.1


def _lose(mesh: OwnershipMesh, *numbers: int) -> None:
    for number in numbers:
        mesh.daemons[number].kill()
        mesh.daemons[number].target.is_up = False


def _restart(mesh: OwnershipMesh, numbers: range, after_s: float) -> None:
    for number in numbers:
        mesh.daemons[number].kill()
        mesh.world.after(after_s, mesh.daemons[number].start)


def _silence_target(mesh: OwnershipMesh) -> None:
    mesh.daemons[0].target.is_up = False


def _leave(mesh: OwnershipMesh) -> None:
    mesh.daemons[0].target.state = TargetState.LEAVING


def _freeze(mesh: OwnershipMesh) -> None:
    daemon = mesh.daemons[0]
    daemon.is_frozen = True
    mesh.world.after(2.0, lambda: setattr(daemon, "is_frozen", False))


def _store_away(mesh: OwnershipMesh) -> None:
    mesh.log.down = True
    mesh.world.after(8.0, lambda: setattr(mesh.log, "down", False))


EVENTS: dict[str, Callable[[OwnershipMesh], None]] = {
    "a target falls silent": _silence_target,
    "a VM is lost": lambda mesh: _lose(mesh, 0),
    "a VM is lost with a guardian": lambda mesh: _lose(mesh, 0, 1),
    "four of six VMs are lost": lambda mesh: _lose(mesh, 0, 1, 2, 3),
    "a router is ended for 1.5 s": lambda mesh: _restart(mesh, range(1), 1.5),
    "all routers are ended for 1.5 s": lambda mesh: _restart(mesh, range(VMS), 1.5),
    "a router is frozen for 2 s": _freeze,
    "a target leaves": _leave,
    "the store is away for 8 s": _store_away,
}


def _play(seed: int, event: Callable[[OwnershipMesh], None]) -> tuple[float, float]:
    """Return the time until all keys are held, and that of a mean key without."""
    mesh = OwnershipMesh(seed, VMS)
    mesh.world.run_until(SETTLED_S)
    event(mesh)
    until_s = missing = 0.0
    fewest = KEY_COUNT
    for look in range(1, int(WATCHED_S / LOOK_S)):
        mesh.world.run_until(SETTLED_S + look * LOOK_S)
        held = sum(mesh.owners().values())
        if held < KEY_COUNT:
            until_s = look * LOOK_S
            missing += (KEY_COUNT - held) * LOOK_S
            fewest = min(fewest, held)
    if mesh.overlaps:
        raise AssertionError(f"seed {seed}: {mesh.overlaps[0]}")
    concerned = KEY_COUNT - fewest
    return until_s, missing / concerned if concerned else 0.0


def run() -> list[Table]:
    """Return the table."""
    header = ("event", "all held p50 s", "p99 s", "max s", "a mean key without s")
    table = Table("Keys without a holder, six routers, virtual time", header)
    for name, event in EVENTS.items():
        played = [_play(seed, event) for seed in SEEDS]
        times = [until_s for until_s, _ in played]
        mean_s = sum(without_s for _, without_s in played) / len(played)
        quantiles = [quantile(times, share) for share in (0.5, 0.99)]
        table.add(name, *quantiles, max(times), mean_s)
    return [table]
