"""A late record of an address's former service frees keys that a worker still holds."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from review.standins2.ownership import falling_fences, shared_holds
from review.standins2.store import key_of
from review.standins2.target import Target
from review.standins2.world import Vm, World, play, route, send, service

#: Network time of a call to the store, both ways, in seconds.
ROUND_TRIP_S = 0.004
#: Time between the end of a worker and the next use of its address, in seconds.
REUSE_AFTER_S = 2.0
#: Time from SIGTERM to SIGKILL, in seconds.
GRACE_S = 6.0
#: Time from the end of a worker until its daemon receives SIGTERM, in seconds.
SIGTERM_AFTER_S = 0.8
#: Time after which a write is carried out whose answer is lost, in seconds.
LATE_S = 5.5
#: Time between the heartbeats of a worker, in seconds.
HEARTBEAT_S = 1.5
#: Requests per second.
RATE = 60
CONFIGURATION = {
    "version": 1,
    "resources": [
        route("scan", "/scan/", "idempotent", "board", "1000ms"),
        route("book", "/book/", "non_idempotent", "desk", "1200ms"),
        service("board", sharded=True),
        service("desk"),
    ],
}


class LostAnswers:
    """The store loses the answer of the next record of some addresses."""

    def __init__(self) -> None:
        self.addresses: set[str] = set()
        self.world: World | None = None

    def late_s(self, topic: str, record: bytes) -> float | None:
        """Return after which time the record is written, if its answer is lost."""
        key = key_of(record)
        address = key.removeprefix("member/")
        self.world.record("append", key=key, lost=address in self.addresses)
        if address not in self.addresses:
            return None
        self.addresses.discard(address)
        return LATE_S


async def _traffic(world: World, vms: list[Vm]) -> None:
    """Send requests with keys from all machines."""
    rng = random.Random(1)
    tasks: set[asyncio.Task] = set()
    number = 0
    while True:
        number += 1
        vm = rng.choice(vms)
        key = rng.randrange(65536)
        request_id = f"{vm.name}-{number}"
        work = send(world, vm, request_id, "GET", f"/scan/{key}", 2000, key)
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE)


async def _replace(
    world: World, vm: Vm, old: Target, lost: LostAnswers, trouble: bool
) -> None:
    """End the worker of a machine; its address goes to a machine of `board`."""
    old.crash()
    ended_at = world.now()
    world.record("worker_ended", target=old.name, vm=vm.name)
    if trouble:
        lost.addresses.add(vm.address["inbound"])
    await asyncio.sleep(SIGTERM_AFTER_S)
    vm.signal(signal.SIGTERM)
    await vm.wait_for_end(GRACE_S)
    lost.addresses.discard(vm.address["inbound"])
    await asyncio.sleep(max(0.0, ended_at + REUSE_AFTER_S - world.now()))
    vm.write_settings("board")
    await world.add_target(
        vm, f"{old.name}-next", "board", by_key=True, heartbeat_s=HEARTBEAT_S
    )
    await vm.start()


async def case(folder: Path, trouble: bool) -> list[str]:
    """Play the case and return what breaks the rule."""
    lost = LostAnswers()
    world = World(folder, ROUND_TRIP_S, lost.late_s)
    lost.world = world
    world.settings["heartbeat"] = f"{HEARTBEAT_S * 1000:.0f}ms"
    try:
        await world.start_store(CONFIGURATION)
        boards = [world.add_vm(f"k{i}", 10 + i, "z1") for i in range(5)]
        desks = [world.add_vm(f"d{i}", 30 + i, "z1") for i in range(6)]
        target_by_vm = {}
        for vm in (*boards, *desks):
            name = "board" if vm in boards else "desk"
            vm.write_settings(name)
            await vm.start()
            target_by_vm[vm.name] = await world.add_target(
                vm,
                f"i-{vm.name}",
                name,
                by_key=name == "board",
                heartbeat_s=HEARTBEAT_S,
            )
        await world.wait_ready(world.vms)
        await asyncio.sleep(7.0)
        traffic = asyncio.create_task(_traffic(world, boards))
        await asyncio.sleep(2.0)
        for pair in (desks[4:], desks[2:4]):
            await asyncio.gather(
                *(
                    _replace(world, vm, target_by_vm[vm.name], lost, trouble)
                    for vm in pair
                )
            )
            await asyncio.sleep(14.0)
        traffic.cancel()
        await asyncio.sleep(2.1)
        return [*shared_holds(world.events), *falling_fences(world.events)]
    finally:
        world.keep_logs()
        await world.close()


if __name__ == "__main__":
    play(case, Path(__file__).parent)
