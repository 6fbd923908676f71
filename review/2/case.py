"""The last worker of a service that is divided by key is granted no keys any more."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from harness.case import TROUBLE, run_case
from harness.clients import Clients, Sent
from harness.deployment import (
    RECOVER_S,
    STABLE_WINDOW_S,
    Deployment,
    limits,
    route,
    service,
)
from harness.record import Record

FRONT, STAYING, REMOVED = 0, 1, 2
#: Time from the kill of all processes to their start, in seconds.
DOWN_S = 1.0
#: Time of traffic before and after the fault, in seconds.
BEFORE_S = 8.0
AFTER_S = 45.0
RATE_PER_S = 4.0
#: Share of the requests that has to be served, before and after.
NEEDED_SHARE = 0.25


def _resources(timeout: str) -> list[dict]:
    return [
        route("status", "/status/", "idempotent", "board", timeout),
        service("front"),
        service("board", by_key=True),
        limits(),
    ]


async def play(record: Record) -> bool:
    """Return whether too few requests are served after the recovery time."""
    deployment = Deployment(record, ["front", "board", "board"], frozenset({"board"}))
    try:
        await deployment.start(_resources("1s"))
        await deployment.wait_until_ready()
        while not all(deployment.workers[vm].current_holds() for vm in (1, 2)):
            await asyncio.sleep(0.1)
        await asyncio.sleep(STABLE_WINDOW_S + 1)
        return await _play_in(deployment, record)
    finally:
        deployment.close()


async def _play_in(deployment: Deployment, record: Record) -> bool:
    clients = Clients(record, deployment.outbound(FRONT))
    traffic = [
        asyncio.create_task(
            clients.send_steadily(
                RATE_PER_S,
                BEFORE_S + AFTER_S,
                "GET",
                "/status/1",
                timeout_ms=1000,
                Shard_Key=key,
            )
        )
        for key in range(0, 65536, 8192)
    ]
    await asyncio.sleep(BEFORE_S)
    deployment.put_configuration(_resources("900ms"))
    fault_at = record.now()
    if TROUBLE:
        record.say("all routers are killed, and one VM is removed for good")
        deployment.workers[REMOVED].end()
        for vm in list(deployment.routers):
            deployment.kill_router(vm)
        await asyncio.sleep(DOWN_S)
        for vm in (FRONT, STAYING):
            deployment.start_router(vm)
    back_at = record.now()
    await asyncio.gather(*traffic)
    await clients.finish()
    ready = [await deployment.is_ready(vm) for vm in (FRONT, STAYING)]
    worker = deployment.workers[STAYING]
    record.say(f"both VMs are ready: {all(ready)}; the worker is up: {worker.is_up}")
    record.say(f"keys that it holds: {_held(worker)}")
    before = [sent for sent in clients.sent if sent.sent_at < fault_at]
    after = [sent for sent in clients.sent if sent.sent_at > back_at + RECOVER_S]
    record.say(f"served before the fault: {_served(before)} of {len(before)}")
    record.say(
        f"served of those sent over {RECOVER_S:.0f} s after the VMs were back: "
        f"{_served(after)} of {len(after)}"
    )
    if _served(before) < NEEDED_SHARE * len(before):
        raise RuntimeError("the deployment did not serve before the fault")
    return _served(after) < NEEDED_SHARE * len(after)


def _held(worker) -> int:
    return sum(row.last - row.first + 1 for row in worker.current_holds())


def _served(sent: list[Sent]) -> int:
    return sum(each.status == 200 for each in sent)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    run_case(Path(__file__).parent, play)
