"""``rhubarb-router``: the daemon that runs beside each target on the platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import eliot

from rhubarbhall.adapters.clock import boot_time
from rhubarbhall.adapters.log_output import LogOutput
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.platform.settings import PlatformSettings, read_settings
from rhubarbhall.programs.options import option, run
from rhubarbhall.programs.routing_daemon import RoutingDaemon


@click.command("rhubarb-router")
@option(
    "--settings-file",
    type=click.Path(path_type=Path),
    required=True,
    help="Settings file that the platform writes.",
)
def command(settings_file: Path) -> None:
    """Route requests to the owners of keys and admit those for the local target."""
    settings = read_settings(settings_file)
    log = LogOutput(sys.stdout.fileno(), boot_time)
    eliot.add_destinations(log)
    _serve(settings_file, settings, log)


def _serve(path: Path, settings: PlatformSettings, log: LogOutput) -> None:
    loop = Loop(
        on_stop=lambda: daemon.request_stop(loop.signal_delay_s),
        on_reload=lambda: daemon.reload(),
    )
    loop.catch_signals()
    daemon = RoutingDaemon(path, settings, loop.stop, log)
    loop.add(daemon)
    daemon.begin()
    loop.run()
    log.flush()
    # Nothing is left to do, and the interpreter takes its time to free its memory, in
    # which the grace period may end.
    os._exit(0)


def main() -> None:
    """Run the program."""
    run(command)


if __name__ == "__main__":
    main()
