"""``rhubarb-load``: sends an open-loop load and audits the promises afterwards.

The load is described by a mix in TOML. What the targets ran is read from stand-ins.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from rhubarbhall.adapters.loop import Loop
from rhubarbhall.loadtool.generator import LoadRun
from rhubarbhall.loadtool.mix import mix_from_toml
from rhubarbhall.loadtool.results import LoadReport, judge, summarize
from rhubarbhall.programs.mesh_client import fetch
from rhubarbhall.programs.options import ADDRESSES, option, run
from rhubarbhall.programs.text_tables import text_table
from rhubarbhall.standins.target import EXECUTIONS_PATH, Execution

if TYPE_CHECKING:
    from rhubarbhall.types import Address

#: Exit code if a promise was broken.
EXIT_PROMISE_BROKEN = 1


def _fetch_executions(targets: tuple[Address, ...]) -> list[Execution]:
    executions: list[Execution] = []
    for target in targets:
        data = fetch(target, "GET", EXECUTIONS_PATH)
        executions += msgspec.json.decode(data, type=list[Execution])
    return executions


def _print_report(report: LoadReport) -> None:
    header = (
        "KIND",
        "SENT",
        "ANSWERED",
        "PER S",
        "P50 MS",
        "P99 MS",
        "MAX MS",
        "OTHER",
    )
    rows = [
        (
            kind.name,
            kind.sent,
            kind.answered,
            kind.goodput_per_s,
            kind.p50_ms,
            kind.p99_ms,
            kind.max_ms,
            ", ".join(f"{n} {k}" for k, n in kind.outcomes.items() if k != "answered"),
        )
        for kind in report.kinds
    ]
    click.echo(text_table(header, rows))
    for each in report.promises:
        verdict = "held" if not each.problems else "BROKEN"
        click.echo(f"promise: {each.promise}: {verdict}")
        for problem in each.problems[:5]:
            click.echo(f"    {problem}")


@click.command("rhubarb-load")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@option(
    "--entrances",
    type=ADDRESSES,
    required=True,
    help="Addresses of daemons for callers, separated by commas.",
)
@option(
    "--targets",
    type=ADDRESSES,
    default="",
    help="Addresses of target stand-ins whose executions are audited.",
)
@option("--seed", type=int, default=1)
@option("--connections", type=click.IntRange(1, 10_000), default=256)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(file, entrances, targets, seed, connections, as_json) -> int:
    """Send the mix in FILE and audit the promises by the outcomes."""
    mix = mix_from_toml(Path(file).read_text(encoding="utf-8"), file)
    loop = Loop()
    started_at = time.monotonic()
    load = LoadRun(mix, list(entrances), seed, loop.stop, connections)
    loop.add(load)
    loop.run()
    seconds = max(mix.seconds, time.monotonic() - started_at)
    executions = _fetch_executions(targets) if targets else None
    report = LoadReport(
        round(seconds, 3),
        tuple(
            summarize(name, result, mix.seconds)
            for name, result in load.result_by_kind.items()
        ),
        judge(load.outcomes, executions),
    )
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(report)).decode())
    else:
        _print_report(report)
    return 0 if report.kept else EXIT_PROMISE_BROKEN


def main() -> None:
    """Run the program."""
    run(command)
