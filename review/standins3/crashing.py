"""Servers that a request crashes, and that come back as new runs after some seconds."""

from __future__ import annotations

import time

from review.standins3.deployment import Deployment, Machine, Record
from rhubarbhall.core.timers import TimerCallback
from rhubarbhall.standins.platform_target import PlatformTarget

#: Path of the request that crashes servers, after the name of the service.
BOOM = "boom"
#: Time until a crashed server is back, in seconds.
BACK_S = 3.0


class Servers:
    """Servers that a request crashes and that come back as new runs."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment, self._record = deployment, record
        self.crashes = 0
        #: Ids of the requests that crash, in the order in which servers began them.
        self.reached: list[str] = []
        for machine in deployment.machines:
            if machine.service == "desk":
                self._watch(machine, deployment.servers[machine])

    def _watch(self, machine: Machine, server: PlatformTarget) -> None:
        server.behaviour.crash_path = f"/desk/{BOOM}"
        server._on_crash = lambda crashed: self._on_crash(machine, crashed)
        answer = server.take

        def take(request_id, raw):
            runs = len(server.executed_requests)
            answer(request_id, raw)
            if raw.path.startswith(f"/desk/{BOOM}"):
                for run in server.executed_requests[runs:]:
                    self.reached.append(run.request)
                    self._record(f"{machine.name} begins {run.request}")

        server.port._sink.take = take

    def _on_crash(self, machine: Machine, server: PlatformTarget) -> None:
        self.crashes += 1
        self._record(
            f"{machine.name} ({server.instance}) crashes, number {self.crashes}"
        )

        def come_back(now: float) -> None:
            fresh = self._deployment.replace_server(machine)
            self._watch(machine, fresh)
            self._record(f"{machine.name} is back as {fresh.instance}")

        self._deployment.timers.at(time.monotonic() + BACK_S, TimerCallback(come_back))
