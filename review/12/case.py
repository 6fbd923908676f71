"""A request is sent to a second server although the first one has begun it.

The router that has sent a request freezes; the router beside the server that works on
it is killed and started again, and freezes as well for a moment when the first one
wakes. Two of 18 machines freeze. With TROUBLE=0 none of this happens.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
import traceback
from pathlib import Path

from review.standins3.deployment import Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_MS = 5500
WORK_S = 0.8
SETTLE_S = 4.0
#: Times after the request has been begun, in seconds.
FREEZE_SENDER_S = 0.05
KILL_S = 0.1
START_S = 0.5
FREEZE_STARTED_S = 1.3
WAKE_SENDER_S = 1.4
WAKE_STARTED_S = 3.4


def at(began_at: float, after_s: float) -> None:
    """Wait until a time after the request was begun."""
    time.sleep(max(0.0, began_at + after_s - time.monotonic()))


def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return the exit status."""
    sender = deployment.machines[0]
    desks = [each for each in deployment.machines if each.service == "desk"]
    if not deployment.wait_ready():
        record("the routers are not ready")
        return 2
    served = lambda: deployment.ask(sender, "desk", "a", "POST") == 200  # noqa: E731
    if not deployment.wait_until(served):
        record("an ordinary request is not answered")
        return 2
    time.sleep(SETTLE_S)
    statuses: list[int | None] = []

    def send() -> None:
        record("client sends POST /desk/x, Request-Id once")
        status = deployment.ask(sender, "desk", "once", "POST", timeout_ms=TIMEOUT_MS)
        statuses.append(status)
        record(f"client gets {status} for once")

    def runs() -> list[str]:
        return [
            machine.name
            for machine in desks
            for run in list(deployment.servers[machine].executed_requests)
            if run.request == "once"
        ]

    client = threading.Thread(target=send)
    client.start()
    if not deployment.wait_until(runs, 3.0):
        record("the request was not begun")
        return 2
    began_at = time.monotonic()
    record(f"the server of {runs()[0]} begins once")
    (first,) = (each for each in desks if each.name == runs()[0])
    if TROUBLE:
        at(began_at, FREEZE_SENDER_S)
        sender.process.send_signal(signal.SIGSTOP)
        record(f"{sender.name} freezes")
        at(began_at, KILL_S)
        first.process.kill()
        first.process.wait()
        record(f"the router of {first.name} is killed")
        at(began_at, START_S)
        deployment.start(first)
        at(began_at, FREEZE_STARTED_S)
        first.process.send_signal(signal.SIGSTOP)
        record(f"{first.name} freezes")
        at(began_at, WAKE_SENDER_S)
        sender.process.send_signal(signal.SIGCONT)
        record(f"{sender.name} wakes")
        at(began_at, WAKE_STARTED_S)
        first.process.send_signal(signal.SIGCONT)
        record(f"{first.name} wakes")
    client.join(TIMEOUT_MS / 1000 + 2.0)
    time.sleep(2.0)
    found = runs()
    record(f"once was begun by the servers of {found}; the client got {statuses}")
    is_refused = bool(found) and bool(statuses) and statuses[0] in (408, 421, 429, 503)
    return 1 if len(found) > 1 or is_refused else 0


def main() -> int:
    """Play the case with a deployment of its own."""
    record = Record(Path(__file__).parent / "record.txt")
    kinds = {"desk": "non_idempotent", "front": "idempotent", "till": "idempotent"}
    deployment = None
    try:
        services = [
            (service, region)
            for service in ("front", "desk", "till")
            for region in ("r1", "r2", "r3") * 2
        ]
        deployment = Deployment(
            record, services, set(), kinds, work_s=WORK_S, route={"timeout": "6000ms"}
        )
        return play(deployment, record)
    except Exception:
        record(traceback.format_exc())
        return 2
    finally:
        if deployment is not None:
            deployment.close()


if __name__ == "__main__":
    sys.exit(main())
