"""Starts the programs as processes on loopback and ends them again."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

HOST = "127.0.0.1"
#: Region and domain of six VMs.
SIX_PLACES = [
    ("idukki", "i1"),
    ("idukki", "i2"),
    ("wayanad", "w1"),
    ("wayanad", "w2"),
    ("kottayam", "k1"),
    ("kottayam", "k2"),
]
MESH_KEY = "a-key-for-benchmarks"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_PROGRAM = "import sys; from rhubarbhall.programs.{0} import main; main()"


class Process:
    """One program that this benchmark started."""

    def __init__(self, program: str, *arguments: str) -> None:
        self._arguments = (program, arguments)
        self.popen = self._spawn()

    def _spawn(self) -> subprocess.Popen:
        program, arguments = self._arguments
        command = [sys.executable, "-c", _PROGRAM.format(program), *arguments]
        if program.startswith("benchmarks."):
            command = [sys.executable, "-m", program, *arguments]
        return subprocess.Popen(
            command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )

    def restart(self) -> None:
        """Start the same program again after it has ended."""
        self.popen = self._spawn()

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def end(self) -> None:
        """End the process whatever it does."""
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()

    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rsplit(")")[1].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def resident_mb(self) -> float:
        """Return the resident memory."""
        pages = int(Path(f"/proc/{self.popen.pid}/statm").read_text().split()[1])
        return pages * _PAGE_BYTES / 1e6


class Mesh:
    """A log, targets and daemons as processes.

    Parameters
    ----------
    places : list of (str, str)
        Region and domain of each VM.
    base_port : int
        First of the ports, ten a VM.
    target : str
        Program of the targets.
    """

    def __init__(
        self,
        places: list[tuple[str, str]],
        base_port: int,
        target: str = "target",
        target_flags: tuple[str, ...] = (),
        daemon_flags: tuple[str, ...] = (),
    ) -> None:
        self.base_port = base_port
        self.log_address = f"{HOST}:{base_port}"
        self.log = Process("log", "--listen", self.log_address)
        self.targets: list[Process] = []
        self.daemons: list[Process] = []
        for number, (region, domain) in enumerate(places):
            port = base_port + 10 * (number + 1)
            self.targets.append(
                Process(target, "--listen", f"{HOST}:{port}", *target_flags)
            )
            self.daemons.append(
                Process(
                    "daemon",
                    *("--calls", f"{HOST}:{port + 1}", "--peers", f"{HOST}:{port + 2}"),
                    *("--log", self.log_address, "--target", f"{HOST}:{port}"),
                    *("--region", region, "--domain", domain, "--mesh-key", MESH_KEY),
                    *("--labels", f"app=status,vm=vm{number}"),
                    *daemon_flags,
                )
            )

    def calls(self, number: int) -> tuple[str, int]:
        """Return the address for callers of a daemon."""
        return HOST, self.base_port + 10 * (number + 1) + 1

    def target_address(self, number: int) -> tuple[str, int]:
        """Return the address of a target."""
        return HOST, self.base_port + 10 * (number + 1)

    def dump(self, number: int) -> dict:
        """Return the state of a daemon."""
        port = self.base_port + 10 * (number + 1) + 2
        return get_json(f"http://{HOST}:{port}/dump")

    def executions(self, number: int) -> list[dict]:
        """Return what a target ran."""
        host, port = self.target_address(number)
        return get_json(f"http://{host}:{port}/-/executions")

    def publish(self, document: dict, replaces: int = 0) -> None:
        """Append an intent."""
        body = {"kind": "intent", "replaces": replaces, "document": document}
        record = {"id": f"bench/{replaces}", "schema": 1, "body": body}
        for _ in range(100):
            with contextlib.suppress(OSError):
                post_json(f"http://{self.log_address}/append", record)
                return
            time.sleep(0.1)
        raise TimeoutError("the log did not come up")

    def set_log_faults(self, mode: str) -> None:
        """Order a fault of the log."""
        post_json(f"http://{self.log_address}/faults", {"mode": mode})

    def wait_served(self, slices: int, limit_s: float = 40.0) -> None:
        """Wait until all slices are served and all sets of witnesses are whole."""
        wanted = min(3 if len(self.daemons) > 3 else 1, len(self.daemons) - 1)
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, ValueError):
                dumps = [self.dump(n) for n in range(len(self.daemons))]
                counts = [len(d["served"]) for d in dumps]
                share = slices / len(dumps)
                spread = all(0.6 * share <= n <= 1.4 * share for n in counts)
                members = dumps[0]["members"]
                whole = len(members) == len(self.daemons) and all(
                    len(m["witnesses"]) >= wanted for m in members
                )
                if sum(counts) >= slices and spread and whole:
                    return
            time.sleep(0.1)
        raise TimeoutError("the mesh did not come up")

    def end(self) -> None:
        """End everything that was started."""
        for process in (*self.daemons, *self.targets, self.log):
            process.end()


def get_json(url: str) -> dict:
    """Return the JSON at a URL on this machine."""
    with urllib.request.urlopen(url, timeout=3) as response:
        return json.load(response)


def post_json(url: str, message: dict) -> dict:
    """Post JSON to a URL on this machine."""
    request = urllib.request.Request(
        url, json.dumps(message).encode(), {"Content-Type": "application/json"}
    )
    with urllib.request.urlopen(request, timeout=3) as response:
        return json.load(response)
