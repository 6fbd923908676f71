"""The operators' program ``rhubarb-ctl``.

It checks and publishes intents, shows the state of daemons and of the platform's store,
drains targets, stops daemons, and traces requests through log files.
"""

from __future__ import annotations

import difflib
import itertools
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec
import tomli_w

from rhubarbhall.adapters.peers_port import STOP_PATH
from rhubarbhall.adapters.signing import SIGNATURE_HEADER, sign
from rhubarbhall.core.errors import SelectorError
from rhubarbhall.core.intent import document_from_toml, intent_from_document
from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.records import DeclareLost, IntentRecord
from rhubarbhall.core.selectors import parse_selector
from rhubarbhall.core.traffic.configuration_check import CheckContext
from rhubarbhall.platform.ingress import SUSPECTS_PATH
from rhubarbhall.platform.operator import parse_configuration
from rhubarbhall.platform.operator_check import CheckReport, check_configuration
from rhubarbhall.platform.settings import BYTES_PER_MB
from rhubarbhall.programs.mesh_client import (
    LogReader,
    MeshError,
    fetch,
    fetch_dump,
    publish,
    wait_in_force,
)
from rhubarbhall.programs.options import ADDRESS, MESH_KEY, option, run
from rhubarbhall.programs.outcome_summary import summarize, summary_rows
from rhubarbhall.programs.store_view import (
    StoreView,
    member_rows,
    owner_rows,
    target_regions,
)
from rhubarbhall.programs.text_tables import text_table
from rhubarbhall.programs.trace import explain, find_lines, format_trace

if TYPE_CHECKING:
    from rhubarbhall.core.directory import Directory
    from rhubarbhall.core.dump import NodeDump

#: Exit code if a record took no effect, or there is no configuration to show.
EXIT_VOID = 1
#: Exit code if an intent is not yet in force in all daemons.
EXIT_LAGGING = 3
#: Maximum number of findings of one kind that the text of a check shows.
SHOWN_OF_A_KIND = 10

_log_option = option(
    "--log", type=ADDRESS, required=True, help="Address of the platform's log."
)
_json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
_wait_option = click.option(
    "--wait-s", type=click.FloatRange(0.0), default=9.0, show_default=True
)


class _PublishedIntent(msgspec.Struct, frozen=True):
    """Output of ``apply`` and ``drain`` with ``--json``."""

    version: int
    record: str
    lagging: dict[str, str]


class _MemberStatus(msgspec.Struct, frozen=True):
    """State of one member in the output of ``status``, in the order of its columns."""

    member: str
    region: str
    domain: str
    lease: str
    slices: int
    intent_version: int


class _Status(msgspec.Struct, frozen=True):
    """Output of ``status`` with ``--json``."""

    intent_version: int
    next_offset: int
    members: tuple[_MemberStatus, ...]
    services: tuple[Any, ...]


def _print_json(value: object) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def _read_document(file: str) -> dict[str, Any]:
    """Read an intent file and check it.

    Raises
    ------
    ConfigurationError
        If the file is invalid; it lists all mistakes.
    """
    document = document_from_toml(Path(file).read_text(encoding="utf-8"), file)
    intent_from_document(document, file)
    return document


def _diff_lines(current: dict[str, Any], new_document: dict[str, Any]) -> list[str]:
    return list(
        difflib.unified_diff(
            tomli_w.dumps(current).splitlines(),
            tomli_w.dumps(new_document).splitlines(),
            "in force",
            "file",
            lineterm="",
        )
    )


@click.group("rhubarb-ctl")
def command() -> None:
    """Operate a mesh of rhubarbhall daemons."""


_file_argument = click.argument("file", type=click.Path(exists=True, dir_okay=False))


@command.command()
@_file_argument
@click.pass_context
def check(context: click.Context, file: str) -> int:
    """Check an intent file, or a configuration in JSON; makes no network calls."""
    if Path(file).read_bytes().lstrip().startswith(b"{"):
        return context.invoke(store_check, file=file, store=None)
    document = _read_document(file)
    click.echo(f"{file}: {len(document.get('services', {}))} services, no mistakes")
    return 0


@command.command()
@_file_argument
@_log_option
def diff(file: str, log: str) -> None:
    """Show how an intent file differs from the intent in force."""
    new_document = _read_document(file)
    directory = LogReader(log).read_to_end()
    for line in _diff_lines(directory.intent_document, new_document):
        click.echo(line)


@command.command()
@_file_argument
@_log_option
@click.option("--replaces", type=int, help="Version that the file is based on.")
@_wait_option
@_json_option
def apply(
    file: str, log: str, replaces: int | None, wait_s: float, as_json: bool
) -> int:
    """Publish an intent file and wait until it is in force in all daemons."""
    new_document = _read_document(file)
    directory = LogReader(log).read_to_end()
    if new_document == directory.intent_document and replaces is None:
        click.echo(f"version {directory.intent_version} is in force already")
        return 0
    base = directory.intent_version if replaces is None else replaces
    return _publish_intent(log, base, new_document, wait_s, as_json)


def _publish_intent(
    log: str, replaces: int, document: dict[str, Any], wait_s: float, as_json: bool
) -> int:
    result = publish(log, IntentRecord(replaces, document), max(wait_s, 1.0))
    if result.applied.void is not None:
        first = f"; {result.winner} came first" if result.winner else ""
        click.echo(f"not applied: {result.applied.void}{first}", err=True)
        return EXIT_VOID
    version = replaces + 1
    lag_by_address = wait_in_force(log, version, wait_s)
    if as_json:
        _print_json(_PublishedIntent(version, result.applied.record_id, lag_by_address))
    elif not lag_by_address:
        click.echo(f"version {version} is in force everywhere")
    for peers, reason in sorted(lag_by_address.items()):
        click.echo(f"lagging: {peers}: {reason}", err=True)
    return EXIT_LAGGING if lag_by_address else 0


@command.command()
@_log_option
@_json_option
def get(log: str, as_json: bool) -> None:
    """Print the intent in force as TOML."""
    directory = LogReader(log).read_to_end()
    if as_json:
        _print_json(directory.intent_document)
        return
    click.echo(f"# version {directory.intent_version}")
    click.echo(tomli_w.dumps(directory.intent_document), nl=False)


@command.command()
@_log_option
@_json_option
def status(log: str, as_json: bool) -> None:
    """Show members with their leases, and services with their slices and imbalance."""
    directory = LogReader(log).read_to_end()
    dumps = _fetch_dumps(directory)
    members = tuple(
        _member_status(directory, member, dumps.get(member))
        for member in sorted(directory.member_by_id)
    )
    services = next(iter(dumps.values())).services if dumps else ()
    if as_json:
        _print_json(
            _Status(
                directory.intent_version,
                directory.next_offset,
                members,
                tuple(services),
            )
        )
        return
    click.echo(
        f"intent version {directory.intent_version}, log read to "
        f"{directory.next_offset}\n"
    )
    header = ("MEMBER", "REGION", "DOMAIN", "LEASE", "SLICES", "INTENT")
    click.echo(text_table(header, [msgspec.structs.astuple(each) for each in members]))
    click.echo()
    header = ("SERVICE", "KEYED", "SLICES", "UNOWNED", "IMBALANCE")
    rows = [
        (s.name, s.keyed, s.slices, s.owners.get("", 0), s.imbalance) for s in services
    ]
    click.echo(text_table(header, rows))


def _fetch_dumps(directory: Directory) -> dict[str, NodeDump]:
    dump_by_member: dict[str, NodeDump] = {}
    for member in directory.member_by_id.values():
        try:
            dump_by_member[member.id] = fetch_dump(member.join.peers)
        except MeshError:
            continue
    return dump_by_member


def _member_status(
    directory: Directory, member_id: str, dump: NodeDump | None
) -> _MemberStatus:
    join = directory.member_by_id[member_id].join
    slices = sum(1 for _ in directory.slices_of(member_id))
    if dump is None or dump.member != member_id:
        return _MemberStatus(
            member_id, join.region, join.domain, "no answer", slices, 0
        )
    lease = "held" if dump.lease_held else "lapsed"
    return _MemberStatus(
        member_id, join.region, join.domain, lease, slices, dump.intent_version
    )


@command.command()
@click.argument("peers", type=ADDRESS)
def dump(peers: str) -> None:
    """Print the state of the daemon at an address as JSON."""
    _print_json(fetch_dump(peers))


@command.command()
@click.argument("targets")
@_log_option
@click.option("--undo", is_flag=True, help="Take the targets back into service.")
@_wait_option
@_json_option
def drain(targets: str, log: str, undo: bool, wait_s: float, as_json: bool) -> int:
    """Publish that the targets that a selector matches are leaving.

    The change is part of the intent; make it in the intent file too, or the
    next apply of that file reverts it.
    """
    try:
        parse_selector(targets)
    except SelectorError as error:
        raise click.BadParameter(str(error), param_hint="TARGETS") from error
    directory = LogReader(log).read_to_end()
    document = dict(directory.intent_document)
    entry = {"targets": targets}
    leaving = [each for each in document.get("leaving", []) if each != entry]
    if not undo:
        leaving.append(entry)
    document["leaving"] = leaving
    return _publish_intent(log, directory.intent_version, document, wait_s, as_json)


@command.command()
@click.argument("peers", type=ADDRESS)
@option("--mesh-key", type=MESH_KEY, required=True, help="Key that all daemons share.")
def stop(peers: str, mesh_key: bytes) -> None:
    """Request the daemon at an address to hand over all that it owns and stop."""
    signature = {SIGNATURE_HEADER.replace("-", "_"): sign(mesh_key, STOP_PATH)}
    fetch(peers, "POST", STOP_PATH, **signature)
    click.echo(f"{peers} is leaving")


@command.command("declare-lost")
@click.argument("members", nargs=-1, required=True)
@_log_option
@click.confirmation_option(
    prompt="A member that still runs would serve beside its successor. Is it gone?"
)
def declare_lost(members: tuple[str, ...], log: str) -> int:
    """Declare that members are lost for good, so that others take over.

    Needed only if too many of a member's witnesses are lost with it for the
    remaining ones to decide.
    """
    result = publish(log, DeclareLost(members), 9.0)
    if result.applied.void is not None:
        click.echo(f"not applied: {result.applied.void}", err=True)
        return EXIT_VOID
    click.echo(f"closed: {', '.join(result.applied.closed)}")
    return 0


@command.group("store")
def store_group() -> None:
    """Show the content of the platform's store."""


_store_option = option(
    "--store", type=ADDRESS, required=True, help="Address of the platform's store."
)


@store_group.command("members")
@_store_option
def store_members(store: str) -> None:
    """Show the routers and their local targets."""
    header = ("router", "service", "region", "domain", "run", "state")
    click.echo(text_table(header, member_rows(StoreView(store).directory())))


@store_group.command("owners")
@_store_option
@click.option("--key", type=click.IntRange(0, KEY_COUNT - 1), help="Only this key.")
def store_owners(store: str, key: int | None) -> None:
    """Show the ranges of keys and their owners."""
    rows = []
    for service, table in sorted(StoreView(store).directory().table_by_service.items()):
        spans = table.spans if key is None else (table.find(key),)
        rows += owner_rows(service, replace(table, spans=spans))
    header = ("service", "keys", "owner", "fence", "has to let go", "state")
    click.echo(text_table(header, rows))


@store_group.command("routes")
@_store_option
def store_routes(store: str) -> int:
    """Show the operators' configuration in force."""
    routing = StoreView(store).routing()
    if routing is None:
        click.echo("no configuration yet")
        return EXIT_VOID
    click.echo(f"version {routing.version}")
    header = ("route", "host", "prefix", "services", "idempotent", "timeout s")
    rows = [
        (
            route.name,
            route.host,
            route.prefix,
            " ".join(f"{part.service}:{part.weight}" for part in route.parts),
            route.idempotent,
            "-" if route.timeout_s is None else route.timeout_s,
        )
        for route in routing.routes
    ]
    click.echo(text_table(header, rows))
    return 0


def _print_report(file: str, report: CheckReport) -> None:
    counts = Counter(each.kind for each in report.findings)
    shown: Counter[str] = Counter()
    for each in report.findings:
        shown[each.kind] += 1
        if shown[each.kind] > SHOWN_OF_A_KIND:
            continue
        place = " ".join(filter(None, (each.type, each.name, each.field)))
        click.echo(f"{each.severity}: {each.kind}: {place}: {each.message}")
    for kind, count in counts.items():
        if count > SHOWN_OF_A_KIND:
            left = count - SHOWN_OF_A_KIND
            click.echo(f"{kind}: {left} more; --json shows all")
    for group, lines in (report.changes or {}).items():
        click.echo(f"{group}:")
        for line in lines:
            click.echo(f"  {line}")
    click.echo(f"{file}: {len(report.findings)} findings")


@store_group.command("check")
@_file_argument
@click.option(
    "--against",
    type=click.Path(exists=True, dir_okay=False),
    help="File with the configuration in force.",
)
@option("--store", type=ADDRESS, help="Address of the platform's store.")
@click.option(
    "--memory-mb",
    type=click.FloatRange(0.0, min_open=True),
    default=200.0,
    show_default=True,
    help="Memory of the smallest VM.",
)
@click.option(
    "--retry-ratio",
    type=click.FloatRange(0.0),
    default=0.2,
    show_default=True,
    help="Bound retry_budget_ratio of the settings.",
)
@_json_option
def store_check(
    file: str,
    against: str | None,
    store: str | None,
    memory_mb: float,
    retry_ratio: float,
    as_json: bool,
) -> int:
    """Check a configuration before it is sent; exit code 1 if it has errors."""
    in_force = regions = None
    try:
        data = Path(file).read_bytes()
        if store is not None:
            view = StoreView(store)
            regions = target_regions(view.directory())
            in_force = view.routing() if against is None else None
        if against is not None:
            in_force = parse_configuration(Path(against).read_bytes())
    except (OSError, ValueError, MeshError) as error:
        raise click.ClickException(str(error)) from error
    context = CheckContext(memory_mb * BYTES_PER_MB, retry_ratio, regions)
    report = check_configuration(data, context, in_force)
    if as_json:
        _print_json(report)
    else:
        _print_report(file, report)
    return int(report.has_errors)


@command.group("suspects")
def suspects_group() -> None:
    """Show and clear the requests under which targets have ended."""


_ready_option = option(
    "--ready",
    type=ADDRESS,
    required=True,
    help="Address of a router for readiness checks.",
)


@suspects_group.command("list")
@_ready_option
def suspects_list(ready: str) -> None:
    """Show what a router knows of them; those that are rejected come first."""
    header = ("fingerprint", "standing", "ended_runs", "age_s")
    state = msgspec.json.decode(fetch(ready, "GET", "/dump"))
    rows = [tuple(each[name] for name in header) for each in state["crash_suspects"]]
    click.echo(text_table(header, rows))


@suspects_group.command("clear")
@_ready_option
@click.argument("fingerprint")
def suspects_clear(ready: str, fingerprint: str) -> None:
    """Let a request run again, on all routers."""
    fetch(ready, "DELETE", f"{SUSPECTS_PATH}{fingerprint}")
    click.echo(f"{fingerprint} is cleared")


@command.command()
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
def trace(request_id: str, logs: tuple[Any, ...]) -> int:
    """Trace one request through the LOGS of several routers, or standard input."""
    lines = itertools.chain(*(logs or (sys.stdin,)))
    trace_lines = list(format_trace(find_lines(lines, request_id)))
    for line in trace_lines:
        click.echo(line)
    if not trace_lines:
        raise click.ClickException(
            f"no log line is about the request {request_id!r}; lines about answers to "
            "ordinary requests may be dropped under load, and ids are case-sensitive"
        )
    return 0


@command.command()
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
def outcomes(logs: tuple[Any, ...]) -> int:
    """Sum the outcomes in the LOGS of several routers, or in standard input.

    Lines about answers to ordinary requests may be dropped under load, so the counts of
    answers are lower bounds.
    """
    rows = summarize(itertools.chain(*(logs or (sys.stdin,))))
    if not rows:
        raise click.ClickException("no log line reports the outcome of a request")
    header = ("ROUTE", "OUTCOME", "REASON", "COUNT", "P50 S", "P90 S")
    click.echo(text_table(header, list(summary_rows(rows))))
    return 0


@command.command("explain")
@click.argument("word")
def explain_word(word: str) -> None:
    """Explain an error kind or the number of a log event."""
    try:
        click.echo(explain(word))
    except ValueError as error:
        raise click.ClickException(str(error)) from error


def main() -> None:
    """Run ``rhubarb-ctl``; exit code 1 if the log, the store or a daemon fails."""
    try:
        run(command)
    except MeshError as error:
        click.echo(f"rhubarb-ctl: {error}", err=True)
        sys.exit(1)
