"""``rhubarb-target``: a stand-in for a target."""

from __future__ import annotations

import click

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.programs.options import ADDRESS, option, run
from rhubarbhall.settings import split_address
from rhubarbhall.standins.target import TargetOptions, TargetService


@click.command("rhubarb-target")
@option("--listen", type=ADDRESS, required=True, help="Address to serve on.")
@option("--slots", type=click.IntRange(1, 100_000), default=20)
@option("--connections", type=click.IntRange(1, 100_000), default=100)
@option("--work-ms", type=click.FloatRange(0.0, 3_600_000.0), default=5.0)
@option("--checks-grants/--no-checks-grants", default=True)
def command(listen, slots, connections, work_ms, checks_grants) -> None:
    """Run orders in memory and record each one that took effect."""
    loop = Loop()
    options = TargetOptions(slots, connections, work_ms, checks_grants)
    loop.add(TargetService(split_address(listen), options))
    loop.run()


def main() -> None:
    """Run the program."""
    run(command)
