"""A writer that is no server sends heartbeats without `born` beside a sound server.

Three servers of a service that is divided by key, one of another service for clients.
With TROUBLE=0 the other writer sends nothing.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
import traceback
from pathlib import Path

from review.standins3.deployment import Deployment, Record
from rhubarbhall.adapters.client import Failed

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETTLE_S = 6.0
WATCH_S = 8.0
#: Time for which two servers may hold the same keys at most, by the rule.
BOUND_S = 0.5
SAMPLE_S = 0.02
#: Heartbeats of the other writer: their number and the time between two of them.
BEATS = 4
INTERVAL_S = 0.4


def held_ranges(server) -> list[tuple[int, int, int]]:
    """Return the unexpired ranges that a server holds."""
    now = time.monotonic()
    return [
        (each.first, each.last, each.fence)
        for each in list(server.held)
        if each.until > now
    ]


def common_keys(left, right) -> tuple[int, int] | None:
    """Return keys that are held on both sides; none if there are none."""
    for first, last, _ in left:
        for other_first, other_last, _ in right:
            if first <= other_last and other_first <= last:
                return max(first, other_first), min(last, other_last)
    return None


class OtherWriter:
    """Sends heartbeats that lack the field `born`."""

    def __init__(self, deployment: Deployment, machine, record: Record) -> None:
        self._deployment, self._machine, self._record = deployment, machine, record

    def send(self, sequence: int) -> None:
        """Send one heartbeat; to be called in the thread of the stand-ins."""
        body = {
            "address": self._machine.address("app"),
            "info": {
                "service": self._machine.service,
                "version": "v1",
                "zone": "z",
                "slots": 9,
            },
            "status": {
                "state": "draining",
                "sequence": sequence,
                "warmup_left": "0ms",
            },
            "holds": [],
            "freed": [],
        }
        self._record(f"other writer sends PUT /instances/i-other {json.dumps(body)}")

        def on_answer(result) -> None:
            status = "none" if isinstance(result, Failed) else result.status
            self._record(f"other writer gets {status}")

        self._deployment.client.fetch(
            self._machine.address("control"),
            "PUT",
            "/instances/i-other",
            (("Content-Type", "application/json"),),
            json.dumps(body).encode(),
            1.0,
            on_answer,
        )


def send_requests(deployment, record, stop) -> None:
    """Send requests for keys of all ranges, one after the other."""
    number = 0
    while not stop.is_set():
        number += 1
        key = number * 1237 % 65536
        request_id = f"q{number}"
        status = deployment.ask(deployment.machines[3], "board", request_id, key=key)
        record(f"client: {request_id} key {key} -> {status}")
        time.sleep(0.02)


def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return the exit status."""
    machines = deployment.machines
    keyed = machines[:3]
    servers = [deployment.servers[each] for each in keyed]
    if not deployment.wait_ready():
        record("the routers are not ready")
        return 2
    covered = lambda: sum(  # noqa: E731
        last - first + 1 for each in servers for first, last, _ in held_ranges(each)
    )
    if not deployment.wait_until(lambda: covered() >= 65536):
        record("the keys are not held")
        return 2
    stop = threading.Event()
    client = threading.Thread(target=send_requests, args=(deployment, record, stop))
    client.start()
    time.sleep(SETTLE_S)
    for machine, server in zip(keyed, servers, strict=True):
        record(f"{machine.name} ({server.instance}) holds {held_ranges(server)}")
    writer = OtherWriter(deployment, keyed[0], record)
    began_at = time.monotonic()
    due = [index * INTERVAL_S for index in range(BEATS)] if TROUBLE else []
    common_since: dict[tuple[int, int], float] = {}
    longest_s = 0.0
    while time.monotonic() - began_at < WATCH_S:
        while due and time.monotonic() - began_at >= due[0]:
            due.pop(0)
            sequence = BEATS - len(due)
            deployment.call(lambda number=sequence: writer.send(number))
        held = [held_ranges(each) for each in servers]
        for one, two in ((0, 1), (0, 2), (1, 2)):
            keys = common_keys(held[one], held[two])
            if keys is None:
                if (one, two) in common_since:
                    record(f"servers {one} and {two} hold no common keys any more")
                common_since.pop((one, two), None)
                continue
            if (one, two) not in common_since:
                record(
                    f"servers {one} and {two} both hold {keys}: "
                    f"{held[one]} and {held[two]}"
                )
            since = common_since.setdefault((one, two), time.monotonic())
            longest_s = max(longest_s, time.monotonic() - since)
        time.sleep(SAMPLE_S)
    stop.set()
    client.join()
    for machine, server in zip(keyed, servers, strict=True):
        record(f"{machine.name} ({server.instance}) holds {held_ranges(server)}")
        for run in server.executed_requests[-3:]:
            record(f"{machine.name} ran {run.request}, one of its last")
    record(
        f"two servers held the same keys for {longest_s:.2f} s at the longest; "
        f"allowed: {BOUND_S}"
    )
    return 1 if longest_s > BOUND_S else 0


def main() -> int:
    """Play the case with a deployment of its own."""
    record = Record(Path(__file__).parent / "record.txt")
    services = [("board", "r1")] * 3 + [("desk", "r1")]
    try:
        deployment = Deployment(
            record,
            services,
            {"board"},
            {"board": "idempotent", "desk": "idempotent"},
        )
    except Exception:
        record(traceback.format_exc())
        return 2
    try:
        return play(deployment, record)
    except Exception:
        record(traceback.format_exc())
        return 2
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
