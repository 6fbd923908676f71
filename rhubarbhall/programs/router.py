"""``rhubarb-router``: the daemon that runs beside each target on the platform."""

from __future__ import annotations

import os
import signal
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

#: Time before the end of the grace period at which the process exits even if its loop
#: is busy, in seconds. Later than `Shutdown.exit_at`, at which the loop ends it.
LAST_EXIT_MARGIN_S = 0.15
#: Lower bound of the time to that exit, in seconds; zero would set no timer.
MIN_EXIT_DELAY_S = 0.01


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
    def stop() -> None:
        delay_s = loop.signal_delay_s
        if not signal.getitimer(signal.ITIMER_REAL)[0]:
            remaining_s = settings.grace_s - LAST_EXIT_MARGIN_S - delay_s
            signal.setitimer(signal.ITIMER_REAL, max(MIN_EXIT_DELAY_S, remaining_s))
        daemon.request_stop(delay_s)

    def exit_at_once(number: int, frame: object) -> None:
        try:
            daemon.end()
            log.flush()
        finally:
            os._exit(0)

    loop = Loop(on_stop=stop, on_reload=lambda: daemon.reload())
    # The loop may be busy when the grace period ends, for example with a large body.
    signal.signal(signal.SIGALRM, exit_at_once)
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
