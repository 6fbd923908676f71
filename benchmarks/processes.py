"""Starts the log, targets and daemons as processes on loopback, and kills them."""

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
#: Region and failure domain of each of six VMs: two VMs in each of three regions.
SIX_VM_LOCATIONS = [
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
    """A program that runs as a child process.

    Parameters
    ----------
    program : str
        Module in `rhubarbhall.programs`, or the full name of a module of `benchmarks`
        that runs as a script.
    *arguments : str
        Arguments on the command line.
    """

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
        """Start the same program again; the old process must have ended."""
        self.popen = self._spawn()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the process, even if SIGSTOP has stopped it, and wait for its end."""
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds of user and system mode."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rsplit(")")[1].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def resident_mb(self) -> float:
        """Return the resident memory in MB (1e6 bytes)."""
        pages = int(Path(f"/proc/{self.popen.pid}/statm").read_text().split()[1])
        return pages * _PAGE_BYTES / 1e6


class Mesh:
    """A log, and a target and a daemon for each VM, as processes on loopback.

    Parameters
    ----------
    locations : list of (str, str)
        Region and failure domain of each VM.
    base_port : int
        Port of the log. Each VM has a block of ten ports: VM `n`, counted from 0, uses
        ``base_port + 10 * (n + 1)`` for its target, the next port for the callers of
        its daemon, and the one after that for the daemon's peers.
    target : str
        Program of the targets, as for `Process`.
    target_flags, daemon_flags : tuple of str
        Further arguments of every target and of every daemon.
    """

    def __init__(
        self,
        locations: list[tuple[str, str]],
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
        for number, (region, domain) in enumerate(locations):
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

    def caller_address(self, number: int) -> tuple[str, int]:
        """Return the address at which a daemon accepts callers."""
        return HOST, self.base_port + 10 * (number + 1) + 1

    def target_address(self, number: int) -> tuple[str, int]:
        """Return the address of a target."""
        return HOST, self.base_port + 10 * (number + 1)

    def dump(self, number: int) -> dict:
        """Return the dump of a daemon's state."""
        port = self.base_port + 10 * (number + 1) + 2
        return get_json(f"http://{HOST}:{port}/dump")

    def executions(self, number: int) -> list[dict]:
        """Return the orders that a target ran."""
        host, port = self.target_address(number)
        return get_json(f"http://{host}:{port}/-/executions")

    def publish(self, document: dict, replaces: int = 0) -> None:
        """Append an intent to the log.

        While the log is not up or refuses, tries again 100 times in about 10 s.

        Parameters
        ----------
        document : dict
            The intent.
        replaces : int
            Version of the intent that this one replaces; 0 for the first intent.

        Raises
        ------
        TimeoutError
            If no attempt succeeded.
        """
        body = {"kind": "intent", "replaces": replaces, "document": document}
        record = {"id": f"bench/{replaces}", "schema": 1, "body": body}
        for _ in range(100):
            with contextlib.suppress(OSError):
                post_json(f"http://{self.log_address}/append", record)
                return
            time.sleep(0.1)
        raise TimeoutError("the log did not accept the intent in 100 attempts")

    def set_log_faults(self, mode: str) -> None:
        """Set the fault that the log simulates; ``"none"`` ends it."""
        post_json(f"http://{self.log_address}/faults", {"mode": mode})

    def wait_until_complete(self, slices: int, limit_s: float = 40.0) -> None:
        """Wait until the mesh is complete.

        It is complete once all slices are served, each daemon serves 60 % to 140 % of
        an equal share, and every member has its full set of witnesses.

        Parameters
        ----------
        slices : int
            Number of slices of all services.
        limit_s : float
            Longest time to wait, in seconds.

        Raises
        ------
        TimeoutError
            If the mesh is not complete within `limit_s`.
        """
        min_witnesses = min(3 if len(self.daemons) > 3 else 1, len(self.daemons) - 1)
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, ValueError):
                dumps = [self.dump(n) for n in range(len(self.daemons))]
                served_counts = [len(d["served"]) for d in dumps]
                share = slices / len(dumps)
                is_balanced = all(
                    0.6 * share <= count <= 1.4 * share for count in served_counts
                )
                members = dumps[0]["members"]
                membership_complete = len(members) == len(self.daemons) and all(
                    len(m["witnesses"]) >= min_witnesses for m in members
                )
                if sum(served_counts) >= slices and is_balanced and membership_complete:
                    return
            time.sleep(0.1)
        raise TimeoutError("the mesh is not complete within the time limit")

    def end(self) -> None:
        """Kill all daemons and targets, and the log."""
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
