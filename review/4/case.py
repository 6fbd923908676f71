"""A worker that has left is in use again after its router was killed and restarted."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from harness.case import TROUBLE, run_case
from harness.clients import Clients
from harness.deployment import (
    DRAIN_S,
    STABLE_WINDOW_S,
    Deployment,
    limits,
    route,
    service,
)
from harness.proxy import DelayProxy
from harness.record import Record

FRONT, LEAVING, STAYING = 0, 1, 2
#: Time for which one heartbeat is held up on its way, in seconds.
BEAT_DELAY_S = 5.2
#: Time from the worker's report to the kill of its router, in seconds.
KILL_AFTER_S = 0.3
#: Time from the kill to the start of the next process, in seconds.
RESTART_S = 0.3
#: Time from the acknowledgement to the exit of the worker, in seconds.
SERVES_ON_S = 7.0
RATE_PER_S = 40.0


async def play(record: Record) -> bool:
    """Return whether requests reach the worker too late."""
    deployment = Deployment(record, ["front", "pay", "pay"])
    resources = [
        route("credit", "/credit/", "non_idempotent", "pay"),
        service("front"),
        service("pay"),
        limits(),
    ]
    try:
        await deployment.start(resources)
        await deployment.wait_until_ready()
        await asyncio.sleep(STABLE_WINDOW_S + 1)
        return await _play_in(deployment, record)
    finally:
        deployment.close()


async def _play_in(deployment: Deployment, record: Record) -> bool:
    worker = deployment.workers[LEAVING]
    clients = Clients(record, deployment.outbound(FRONT))
    traffic = asyncio.create_task(
        clients.send_steadily(RATE_PER_S, 15.0, "POST", "/credit/1")
    )
    await asyncio.sleep(1.5)
    served_before = len(worker.runs)
    proxy = DelayProxy(deployment.control(LEAVING), BEAT_DELAY_S)
    slow_path = await proxy.listen(deployment.vms[LEAVING].ip)
    late = asyncio.create_task(worker.send_heartbeat(by=slow_path))
    await asyncio.sleep(0.3)
    if not await worker.leave():
        raise RuntimeError("the departure was not acknowledged")
    left_at = record.now()
    record.say(f"departure acknowledged at {left_at:.2f}s")
    await asyncio.sleep(KILL_AFTER_S)
    if TROUBLE:
        deployment.kill_router(LEAVING)
        await asyncio.sleep(RESTART_S)
        deployment.start_router(LEAVING)
    await asyncio.sleep(left_at + SERVES_ON_S - record.now())
    worker.end()
    await traffic
    await clients.finish()
    await late
    proxy.close()
    return _judge(deployment, record, clients, left_at, served_before)


def _judge(
    deployment: Deployment,
    record: Record,
    clients: Clients,
    left_at: float,
    served_before: int,
) -> bool:
    """Count the runs that begin after the drain period, by machines in touch."""
    worker = deployment.workers[LEAVING]
    in_touch_from = deployment.started_at[LEAVING] + STABLE_WINDOW_S
    counted_from = max(left_at + DRAIN_S, in_touch_from)
    late = [at for at, _ in worker.runs if at > counted_from]
    answers = [sent.status for sent in clients.sent]
    lost = [
        sent
        for sent in clients.sent
        if sent.sent_at > counted_from and sent.status in (0, 502, 504)
    ]
    record.say(f"runs at the worker before it left: {served_before}")
    record.say(f"answers by status: { {s: answers.count(s) for s in set(answers)} }")
    record.say(
        f"runs that began over {DRAIN_S} s after the acknowledgement, and over "
        f"{STABLE_WINDOW_S} s after the router was started: {len(late)}"
    )
    if late:
        first, last = late[0] - left_at, late[-1] - left_at
        record.say(f"the first {first:.2f} s and the last {last:.2f} s after it")
    record.say(f"requests sent then that ended with 502, 504 or a close: {len(lost)}")
    if served_before == 0:
        raise RuntimeError("the worker was not in use before")
    return bool(late)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    run_case(Path(__file__).parent, play)
