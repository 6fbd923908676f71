"""Two routers as processes, with stand-ins for their targets and for the store."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, replace
from pathlib import Path

from rhubarbhall.adapters.client import SWEEP_INTERVAL_S, HttpClient
from rhubarbhall.adapters.clock import TimerRunner, fire_due
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.timers import TimerCallback, TimerService
from rhubarbhall.standins.platform_store import PlatformStore
from rhubarbhall.standins.platform_target import PlatformTarget, TargetBehaviour

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
#: Limits in the settings of the routers. Low, so that a small crowd suffices.
MEMORY_MB = 120
MAX_FDS = 400
#: Limits of clients in the operators' configuration.
MAX_BODY_BYTES = 64 << 20
CLIENT_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": MAX_BODY_BYTES,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}
#: Sizes of answers, by the start of the path after the name of the service.
LONG_ANSWER_BYTES = 4 << 20
SMALL_ANSWER_BYTES = 20 << 10
#: Service of each VM. The clients are connected to the first one, so the target of the
#: second one is behind a peer.
SERVICES = ("near", "far")
#: Names of the ports on a VM: those of its router, and that of its target.
PORT_NAMES = ("inbound", "outbound", "ready", "control", "app")
#: Time for the routers to become ready, and for one ordinary request, in seconds.
READY_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 30.0
#: Deadline of the requests of clients, in milliseconds.
TIMEOUT_MS = 10_000


def free_ports(count: int) -> list[int]:
    """Return ports that are free on loopback."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports of a deployment, all of them different.

    Parameters
    ----------
    store : int
        Port of the store.
    by_service : dict of str to dict of str to int
        Ports on the VM of each service, by their name in `PORT_NAMES`.
    """

    store: int
    by_service: dict[str, dict[str, int]]

    @classmethod
    def draw(cls) -> Ports:
        """Return ports that are free on loopback.

        They are drawn together: a port that is free now may be drawn once more before
        it is used.
        """
        count = len(PORT_NAMES)
        store, *others = free_ports(1 + count * len(SERVICES))
        by_service = {
            service: dict(zip(PORT_NAMES, others[index * count :], strict=False))
            for index, service in enumerate(SERVICES)
        }
        return cls(store, by_service)


def configuration() -> bytes:
    """Return a configuration with a route to each service."""
    resources: list[dict] = [
        {
            "resource_type": "limits",
            "metadata": {"name": "limits"},
            "spec": CLIENT_LIMITS,
        }
    ]
    for name in SERVICES:
        spec = {
            "hostname": HOST,
            "path_prefix": f"/{name}/",
            "type": "idempotent",
            "service": name,
            "timeout": "20s",
            "target_latency": "5s",
            "max_attempts": 2,
        }
        metadata = {"name": name}
        resources += [
            {"resource_type": "routes", "metadata": metadata, "spec": spec},
            {
                "resource_type": "services",
                "metadata": metadata,
                "spec": {"max_connections": 110, "sharded": False},
            },
        ]
    return json.dumps({"version": 1, "resources": resources}).encode()


class Vm:
    """One VM: the addresses on it and its router process."""

    def __init__(
        self, service: str, folder: Path, ports: Ports, memory_mb: int, max_fds: int
    ) -> None:
        self.service = service
        self.port = ports.by_service[service]
        self._path = folder / f"{service}.json"
        self._log = open(folder / f"{service}.log", "wb")
        listen = {name: self.address(name) for name in PORT_NAMES if name != "app"}
        settings = {
            "node_name": service,
            "zone": f"zone-{service}",
            "region": "r1",
            "listen": listen,
            "app_addr": self.address("app"),
            "service": service,
            "platform": {"address": f"{HOST}:{ports.store}"},
            "limits": {"memory_mb": memory_mb, "max_fds": max_fds},
        }
        self._path.write_text(json.dumps(settings))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "rhubarbhall.programs.router"],
            cwd=ROOT,
            env={**os.environ, "RHUBARB_SETTINGS_FILE": str(self._path)},
            stdout=self._log,
            stderr=self._log,
        )

    def address(self, name: str) -> str:
        """Return the address of a port."""
        return f"{HOST}:{self.port[name]}"

    def is_alive(self) -> bool:
        """Return whether the router process has not ended."""
        return self.process.poll() is None

    def peak_mb(self) -> float:
        """Return the largest resident memory that the router has had, in MiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def open_descriptors(self) -> int:
        """Return the number of open descriptors of the router."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def close(self) -> None:
        """End the router process."""
        self.process.kill()
        self.process.wait()
        self._log.close()


class Deployment:
    """The routers, and a thread with the stand-ins; `close` ends all of them.

    Parameters
    ----------
    memory_mb, max_fds : int
        Limits in the settings of the routers.
    """

    def __init__(self, memory_mb: int = MEMORY_MB, max_fds: int = MAX_FDS) -> None:
        self.memory_mb, self.max_fds = memory_mb, max_fds
        self._folder = tempfile.TemporaryDirectory()
        ports = Ports.draw()
        self.store = PlatformStore((HOST, ports.store))
        self.store.put("keyed.op", "config", configuration())
        folder = Path(self._folder.name)
        self.vms = [
            Vm(service, folder, ports, memory_mb, max_fds) for service in SERVICES
        ]
        self._loop = Loop()
        self._timers = TimerService()
        client = HttpClient("stand-ins", 50)
        self._targets = [self._target(vm, client) for vm in self.vms]
        runner = TimerRunner(self._timers, self._fire_due)
        for component in (self.store.port, client, runner):
            self._loop.add(component)
        sweep = TimerCallback(lambda now: client.sweep())
        self._timers.every(SWEEP_INTERVAL_S, sweep)
        for target in self._targets:
            self._loop.add(target.port)
            self._timers.at(
                time.monotonic() + 0.3, TimerCallback(lambda now, t=target: t.begin())
            )
        self._thread = threading.Thread(target=self._loop.manager.run, daemon=True)
        self._thread.start()

    def _fire_due(self) -> None:
        fire_due(self._timers, time.monotonic(), lambda error: None)

    def _target(self, vm: Vm, client: HttpClient) -> PlatformTarget:
        sizes = {"long": LONG_ANSWER_BYTES, "page": SMALL_ANSWER_BYTES}
        target = PlatformTarget(
            vm.address("app"),
            vm.service,
            vm.address("control"),
            False,
            self._timers,
            client,
            TargetBehaviour(
                work_s=0.002,
                padding_by_path={
                    f"/{vm.service}/{name}": size for name, size in sizes.items()
                },
            ),
        )
        target.port.limit(replace(target.port._limits, max_body=MAX_BODY_BYTES))
        return target

    @property
    def callers_port(self) -> int:
        """Port of the router that clients are connected to."""
        return self.vms[0].port["outbound"]

    def ask(self, service: str) -> int | None:
        """Return the status of one ordinary request; None if it has no answer."""
        connection = http.client.HTTPConnection(HOST, self.callers_port, timeout=5.0)
        headers = {"Request-Id": f"ask-{time.monotonic()}", "Timeout-Ms": "4000"}
        try:
            connection.request("GET", f"/{service}/small", headers=headers)
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except OSError:
            return None
        except http.client.HTTPException:
            return None
        finally:
            connection.close()

    def is_answered(self, service: str, timeout_s: float) -> bool:
        """Return whether an ordinary request to a service is answered in time."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if not all(vm.is_alive() for vm in self.vms):
                return False
            if self.ask(service) == http.client.OK:
                return True
            time.sleep(0.1)
        return False

    def close(self) -> None:
        """End the processes and the thread."""
        for vm in self.vms:
            vm.close()
        self._loop.stop()
        self._thread.join(5.0)
        for target in self._targets:
            target.port.close()
        self.store.port.close()
        self._folder.cleanup()
