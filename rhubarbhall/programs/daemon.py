"""``rhubarb-daemon``: the daemon that runs on the VM of each target."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import eliot

from rhubarbhall.adapters.driver import Daemon
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.caller_limits import CallerLimits
from rhubarbhall.core.timing import Timing
from rhubarbhall.programs.options import (
    ADDRESS,
    ADDRESSES,
    LABELS,
    MESH_KEY,
    PLACE,
    option,
    run,
)
from rhubarbhall.settings import DaemonSettings

# The flags have the same defaults as the settings that they fill.
_TIMING = Timing()
_LIMITS = CallerLimits()
_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def _boot_id() -> str:
    try:
        return _BOOT_ID.read_text().strip()
    except OSError:
        # Without a boot id, a restarted daemon does not close its earlier run when it
        # joins, but waits for the verdict of that run's witnesses.
        return ""


@click.command("rhubarb-daemon")
@option("--calls", type=ADDRESS, required=True, help="Address for callers.")
@option(
    "--peers",
    type=ADDRESS,
    required=True,
    help="Address for other daemons and operators, TCP and UDP.",
)
@option("--log", type=ADDRESS, required=True, help="Address of the platform's log.")
@option("--target", type=ADDRESS, required=True, help="Address of the local target.")
@option("--region", type=PLACE, required=True, help="Region of the VM.")
@option("--domain", type=PLACE, required=True, help="Failure domain of the VM.")
@option("--mesh-key", type=MESH_KEY, required=True, help="Key that all daemons share.")
@option("--labels", type=LABELS, default="", help="Labels, such as app=status.")
@option(
    "--seeds",
    type=ADDRESSES,
    default="",
    help="Peers to read records from while the log is unreachable.",
)
@option("--boot", default=None, help="Identity of this boot of the VM.")
@option(
    "--weight",
    type=click.FloatRange(0.01, 100.0),
    default=1.0,
    help="Share of slices relative to other members.",
)
@option(
    "--checks-grants/--no-checks-grants",
    default=True,
    help="Whether the target checks grants.",
)
@option("--target-connections", type=click.IntRange(1, 10_000), default=100)
@option(
    "--max-connections", type=click.IntRange(1, 100_000), default=_LIMITS.connections
)
@option("--max-head", type=click.IntRange(256, 1 << 20), default=_LIMITS.max_head)
@option("--max-body", type=click.IntRange(0, 1 << 30), default=_LIMITS.max_body)
@option("--idle-s", type=click.FloatRange(0.1, 3600.0), default=_LIMITS.idle_s)
@option("--keep-s", type=click.FloatRange(0.1, 3600.0), default=_LIMITS.keep_s)
@option("--lease-s", type=click.FloatRange(0.2, 60.0), default=_TIMING.lease_s)
@option("--heartbeat-s", type=click.FloatRange(0.02, 10.0), default=_TIMING.heartbeat_s)
@option("--read-s", type=click.FloatRange(0.01, 10.0), default=_TIMING.read_s)
@option("--tenure-s", type=click.FloatRange(2.0, 3600.0), default=_TIMING.tenure_s)
def command(
    calls,
    peers,
    log,
    target,
    region,
    domain,
    mesh_key,
    labels,
    seeds,
    boot,
    weight,
    checks_grants,
    target_connections,
    max_connections,
    max_head,
    max_body,
    idle_s,
    keep_s,
    lease_s,
    heartbeat_s,
    read_s,
    tenure_s,
) -> None:
    """Route requests to the owners of their keys and dispatch orders to the target."""
    if heartbeat_s * 2 > lease_s:
        raise click.BadParameter(
            f"{heartbeat_s} lets one lost heartbeat end the lease; allowed: at most "
            f"half of --lease-s ({lease_s})",
            param_hint="--heartbeat-s",
        )
    settings = DaemonSettings(
        calls=calls,
        peers=peers,
        log=log,
        target=target,
        region=region,
        domain=domain,
        mesh_key=mesh_key,
        labels=labels,
        boot=_boot_id() if boot is None else boot,
        checks_grants=checks_grants,
        weight=weight,
        seeds=seeds,
        target_connections=target_connections,
        limits=CallerLimits(max_connections, max_head, max_body, idle_s, keep_s),
        timing=Timing(
            lease_s=lease_s, heartbeat_s=heartbeat_s, read_s=read_s, tenure_s=tenure_s
        ),
    )
    eliot.to_file(sys.stderr)
    _serve(settings)


def _serve(settings: DaemonSettings) -> None:
    loop = Loop(on_stop=lambda: daemon.request_stop())
    loop.catch_signals()
    try:
        daemon = Daemon(settings, on_exit=loop.stop)
    except OSError as error:
        raise click.ClickException(
            f"cannot listen on {settings.calls} and {settings.peers}: {error.strerror}"
        ) from error
    loop.add(daemon)
    daemon.begin()
    loop.run()


def main() -> None:
    """Run the program."""
    run(command)
