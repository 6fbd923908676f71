"""The platform's limit on the memory of a process: one that exceeds it is killed."""

from __future__ import annotations

import asyncio
from pathlib import Path

from harness.deployment import MEMORY_MB, Deployment

CHECK_INTERVAL_S = 0.01
RESTART_S = 0.5
_KB_PER_MB = 1024


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process; 0 once it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    for line in lines:
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0


class MemoryLimit:
    """Kills routers over the limit and starts them again, as the platform does."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.peak_mb: dict[int, float] = {}
        self.kills: list[tuple[float, int]] = []

    async def enforce(self) -> None:
        """Check all routers until cancelled."""
        deployment, record = self._deployment, self._deployment.record
        while True:
            for vm, process in list(deployment.routers.items()):
                used_mb = resident_mb(process.pid)
                self.peak_mb[vm] = max(used_mb, self.peak_mb.get(vm, 0.0))
                if used_mb > MEMORY_MB:
                    record.add("over-limit", vm=vm, resident_mb=round(used_mb))
                    deployment.kill_router(vm)
                    self.kills.append((record.now(), vm))
                    await asyncio.sleep(RESTART_S)
                    deployment.start_router(vm)
            await asyncio.sleep(CHECK_INTERVAL_S)
