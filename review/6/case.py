"""A machine at a reused address gives the former service's requests to its worker."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from review.standins2.target import Target
from review.standins2.world import Vm, World, play, route, send, service

#: Network time of a call to a store in another region, both ways, in seconds.
ROUND_TRIP_S = 0.06
#: Time between the end of a worker and the next use of its address, in seconds.
REUSE_AFTER_S = 2.0
#: Time from SIGTERM to SIGKILL, in seconds.
GRACE_S = 6.0
#: Requests per second from the clients of each such machine.
RATE = 40
CONFIGURATION = {
    "version": 1,
    "resources": [
        route("find", "/find/", "idempotent", "alpha", "1000ms"),
        route("book", "/book/", "non_idempotent", "alpha", "1200ms"),
        route("pay", "/pay/", "non_idempotent", "beta", "800ms"),
        service("alpha"),
        service("beta"),
    ],
}


async def _traffic(world: World, vm: Vm) -> None:
    """Send the requests of the clients on a machine."""
    tasks: set[asyncio.Task] = set()
    number = 0
    while True:
        number += 1
        kind = number % 3
        path = ("/find/", "/book/", "/pay/")[kind] + str(number)
        method = ("GET", "POST", "POST")[kind]
        body = b"" if method == "GET" else b"order"
        request_id = f"{vm.name}-{number}"
        work = send(world, vm, request_id, method, path, 1500, body=body)
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE)


async def _replace(world: World, vm: Vm, old: Target) -> None:
    """End the worker of a machine; its address goes to a machine of `beta`."""
    acknowledged_at = old.acknowledged_at
    await world.wait_until(
        lambda: old.acknowledged_at > acknowledged_at, 3.0, "a heartbeat"
    )
    old.crash()
    ended_at = world.now()
    world.record("worker_ended", target=old.name, vm=vm.name)
    # A daemon receives SIGTERM after its worker has terminated.
    vm.signal(signal.SIGTERM)
    await vm.wait_for_end(GRACE_S)
    await asyncio.sleep(max(0.0, ended_at + REUSE_AFTER_S - world.now()))
    vm.write_settings("beta")
    await world.add_target(vm, f"i-new-{vm.name}", "beta")
    await vm.start()


def _breaches(world: World) -> list[str]:
    lines = []
    for at, kind, fields in world.events:
        if kind == "runs":
            wanted = "beta" if fields["path"].startswith("/pay/") else "alpha"
            if fields["service"] != wanted:
                lines.append(
                    f"ROUTE at {at:.3f} s: {fields['method']} {fields['path']} of "
                    f"{wanted} is run by {fields['target']} of {fields['service']}"
                )
    return lines


async def case(folder: Path, trouble: bool) -> list[str]:
    """Play the case and return what breaks the rule."""
    world = World(folder, ROUND_TRIP_S)
    try:
        await world.start_store(CONFIGURATION)
        alphas = [world.add_vm(f"a{i}", 10 + i, "z1") for i in range(4)]
        beta = world.add_vm("b", 21, "z1")
        # The only machines of their zones, so clients go on sending while they are not
        # ready.
        alone = [world.add_vm(f"x{i}", 31 + i, f"z{i + 2}") for i in range(2)]
        target_by_vm = {}
        for vm in (*alphas, beta, *alone):
            name = "beta" if vm is beta else "alpha"
            vm.write_settings(name)
            await vm.start()
            target_by_vm[vm.name] = await world.add_target(vm, f"i-{vm.name}", name)
        await world.wait_ready(world.vms)
        traffic = [asyncio.create_task(_traffic(world, vm)) for vm in alone]
        await asyncio.sleep(4.0)
        if trouble:
            ends = (_replace(world, vm, target_by_vm[vm.name]) for vm in alone)
            await asyncio.gather(*ends)
        await asyncio.sleep(8.0)
        for task in traffic:
            task.cancel()
        await asyncio.sleep(1.6)
        return _breaches(world)
    finally:
        await world.close()


if __name__ == "__main__":
    play(case, Path(__file__).parent)
