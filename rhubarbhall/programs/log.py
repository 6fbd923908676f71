"""``rhubarb-log``: a stand-in for the platform's log service."""

from __future__ import annotations

import click

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.programs.options import ADDRESS, option, run
from rhubarbhall.settings import split_address
from rhubarbhall.standins.log import DEFAULT_RETAINED, LogService


@click.command("rhubarb-log")
@option("--listen", type=ADDRESS, required=True, help="Address to serve on.")
@option("--retained", type=click.IntRange(10), default=DEFAULT_RETAINED)
def command(listen, retained) -> None:
    """Serve an append-only log in memory, with faults on request."""
    loop = Loop()
    loop.add(LogService(split_address(listen), retained))
    loop.run()


def main() -> None:
    """Run the program."""
    run(command)
