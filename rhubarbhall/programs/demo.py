"""``rhubarb-demo``: a deployment in one process that goes through faults under load.

At the end it checks the promises to the users against what callers and targets saw.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import click
import eliot

from rhubarbhall import audit
from rhubarbhall.adapters.client import HttpClient
from rhubarbhall.adapters.clock import TimerRunner
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.events import Event
from rhubarbhall.core.intent import document_from_toml
from rhubarbhall.core.timers import TimerService
from rhubarbhall.programs.options import option, run
from rhubarbhall.standins.callers import Callers
from rhubarbhall.standins.deployment import Deployment, VmLocation

#: Time between two rounds of requests.
CALL_INTERVAL_S = 0.02
#: Time between checks of the condition that the next step waits for.
CHECK_INTERVAL_S = 0.05
#: Time after which a step whose condition does not hold fails the demo.
STEP_TIMEOUT_S = 15.0
#: The users' bounds, in seconds: on the time from the loss of a VM until all slices are
#: served again, from the publication of a drain until the target gets no new work, and
#: from the publication of an intent until it is in force in every daemon.
MAX_UNSERVED_S = 2.0
MAX_NEW_WORK_S = 3.0
MAX_PUBLICATION_S = 9.0
#: Number of keys that the callers use.
KEY_COUNT = 40
SERVICE = "status"
#: Number of the service's slices, as in the intent below.
SLICE_COUNT = 48

_PLACES = (
    ("idukki", "idukki-1"),
    ("idukki", "idukki-2"),
    ("wayanad", "wayanad-1"),
    ("wayanad", "wayanad-2"),
    ("kottayam", "kottayam-1"),
    ("kottayam", "kottayam-2"),
)

_INTENT = """
[preferences]
regions = ["idukki"]

[services.status]
targets = "app=status"
slices = 48
slots = 20
short_slots = 4

[[services.status.routes]]
path = "/credit"
idempotency_key = "required"

[services.accounts]
targets = "app=status"
keyed = false
slots = 20
short_slots = 4
"""


class _CallbackDue(Event):
    """Timer event: call `action`."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action = action


@dataclass(slots=True)
class _PromiseCheck:
    """A promise to the users, with a line for each place where it was broken."""

    text: str
    problems: list[str] = field(default_factory=list)


class Demo:
    """Takes a deployment through a drain, a loss and a change of the intent under load.

    Parameters
    ----------
    base_port : int
        First of the ports used on loopback.
    stay : bool
        Whether to keep running after the checks, for trying by hand.

    Attributes
    ----------
    exit_code : int
        0 once all promises held; 1 before, and if one was broken.
    """

    def __init__(self, base_port: int, stay: bool) -> None:
        self.loop = Loop(on_stop=self._stop)
        self._stay = stay
        self._timers = TimerService()
        self.loop.add(TimerRunner(self._timers, self._run_due_callbacks))
        self.deployment = Deployment(self.loop, base_port)
        client = HttpClient("demo-callers", max_connections=64)
        self.loop.add(client)
        for region, domain in _PLACES:
            self.deployment.add_vm(VmLocation(region, domain, {"app": "status"}))
        addresses = [vm.calls for vm in self.deployment.vm_by_name.values()]
        self.callers = Callers(
            client, addresses, SERVICE, "accounts", KEY_COUNT, seed=1
        )
        self._document = document_from_toml(_INTENT)
        self._version = 0
        self._promises: list[_PromiseCheck] = []
        self._is_sending = False
        self._started_at = time.monotonic()
        self.exit_code = 1
        now = time.monotonic()
        self._timers.every(
            CALL_INTERVAL_S, _CallbackDue(self._send_requests), first=now
        )
        self._timers.every(0.05, _CallbackDue(client.sweep), first=now)
        self._timers.every(CHECK_INTERVAL_S, _CallbackDue(self._advance), first=now)
        self._steps = self._scenario()
        self._condition: Callable[[], bool] = lambda: True
        self._waiting_since = now

    def _run_due_callbacks(self) -> None:
        for event in list(self._timers.due(time.monotonic())):
            event.action()

    def _print(self, text: str) -> None:
        click.echo(f"[{time.monotonic() - self._started_at:5.1f} s] {text}")

    def _send_requests(self) -> None:
        if self._is_sending:
            self.callers.send_requests()

    def _stop(self) -> None:
        self.loop.stop()

    # The scenario: each `yield` gives the condition that the next step waits for.

    def _advance(self) -> None:
        is_overdue = time.monotonic() - self._waiting_since > STEP_TIMEOUT_S
        if not self._condition() and not is_overdue:
            return
        if not self._condition():
            self._promises.append(
                _PromiseCheck("every step of the demo completed", ["a step timed out"])
            )
            self._check_promises()
            return
        self._waiting_since = time.monotonic()
        try:
            self._condition = next(self._steps)
        except StopIteration:
            self._condition = lambda: False
            self._waiting_since = float("inf")

    def _pause(self, seconds: float) -> Callable[[], bool]:
        until = time.monotonic() + seconds
        return lambda: time.monotonic() >= until

    def _scenario(self) -> Iterator[Callable[[], bool]]:
        self._print("six daemons in six failure domains of three regions start")
        yield self._all_joined
        self._print("all have joined")
        yield from self._publish("apply the intent")
        yield self._all_served
        self._show_owners()
        self._is_sending = True
        yield self._pause(6.0)
        self._show_owners()
        yield from self._drain_vm("vm2")
        yield from self._lose_vm("vm4")
        yield from self._publish("publish a change: prefer wayanad", prefer="wayanad")
        yield self._pause(2.0)
        self._is_sending = False
        yield lambda: self.callers.in_flight == 0
        self._check_promises()

    def _all_joined(self) -> bool:
        return all(
            vm.daemon.node.context.member is not None
            for vm in self.deployment.vm_by_name.values()
        )

    def _all_served(self) -> bool:
        return sum(self.deployment.slices_by_vm(SERVICE).values()) == SLICE_COUNT

    def _show_owners(self) -> None:
        owners = ", ".join(
            f"{vm} {n}" for vm, n in self.deployment.slices_by_vm(SERVICE).items()
        )
        counts = Counter(each.ran for each in self.callers.outcomes)
        lost = sum(1 for each in self.callers.outcomes if each.status == 0)
        self._print(
            f"slices: {owners}; answered {counts['yes']}, refused as not run "
            f"{counts['no']}, unknown {counts['unknown']}, lost {lost}"
        )

    def _publish(
        self, text: str, prefer: str | None = None
    ) -> Iterator[Callable[[], bool]]:
        if prefer is not None:
            self._document["preferences"] = {"regions": [prefer]}
        self._print(text)
        started_at = time.monotonic()
        self.deployment.publish(f"demo/{self._version}", self._version, self._document)
        self._version += 1
        version = self._version
        yield lambda: self.deployment.is_intent_in_force(version)
        took_s = time.monotonic() - started_at
        self._print(
            f"version {version} is in force in every daemon after {took_s:.2f} s"
        )
        promise = _PromiseCheck(
            f"version {version} in force within {MAX_PUBLICATION_S:g} s"
        )
        if took_s > MAX_PUBLICATION_S:
            promise.problems.append(f"took {took_s:.2f} s")
        self._promises.append(promise)

    def _drain_vm(self, name: str) -> Iterator[Callable[[], bool]]:
        self._document["leaving"] = [{"targets": f"vm={name}"}]
        started_at = time.monotonic()
        yield from self._publish(f"{name} is leaving")
        yield lambda: not self.deployment.slices_by_vm(SERVICE)[name]
        self._print(f"{name} owns nothing after {time.monotonic() - started_at:.2f} s")
        yield self._pause(MAX_NEW_WORK_S + 1.0)
        vm = self.deployment.vm_by_name[name]
        late = audit.find_late_work(
            vm.target.executions, "", started_at + MAX_NEW_WORK_S
        )
        self._promises.append(
            _PromiseCheck(f"{name} got no new work after {MAX_NEW_WORK_S:g} s", late)
        )
        self._show_owners()

    def _lose_vm(self, name: str) -> Iterator[Callable[[], bool]]:
        vm = self.deployment.crash_vm(name)
        self.callers.entrances.remove(vm.calls)
        started_at = time.monotonic()
        self._print(f"{name} is lost without warning")
        yield self._all_served
        took_s = time.monotonic() - started_at
        self._print(f"every slice is served again after {took_s:.2f} s")
        promise = _PromiseCheck(
            f"keys served again within {MAX_UNSERVED_S:g} s of a loss"
        )
        if took_s > MAX_UNSERVED_S:
            promise.problems.append(f"took {took_s:.2f} s")
        self._promises.append(promise)
        yield self._pause(3.0)
        self._show_owners()

    # The promises

    def _check_promises(self) -> None:
        executions = self.deployment.executions()
        outcomes = self.callers.outcomes
        self._promises += [
            _PromiseCheck(
                "one owner of each slice", audit.find_double_owners(executions)
            ),
            _PromiseCheck(
                "each credit ran at most once", audit.find_repeats(executions)
            ),
            _PromiseCheck(
                "requests refused as 'not run' did not run",
                audit.find_false_refusals(executions, outcomes),
            ),
            _PromiseCheck(
                "every answer is whole and for the requested key",
                audit.find_wrong_answers(outcomes),
            ),
        ]
        worst, key = audit.longest_unavailable_s(outcomes)
        credits = Counter(
            each.idempotency_key for each in executions if each.idempotency_key
        )
        kinds = Counter(each.kind for each in outcomes if each.kind)
        self._print(f"longest time that a key was unavailable: {worst:.2f} s ({key})")
        self._print(
            f"{len(credits)} credits ran; most runs of one: "
            f"{max(credits.values(), default=0)}"
        )
        self._print(f"refusals: {dict(kinds)}")
        self._print_verdict()

    def _print_verdict(self) -> None:
        all_held = True
        for promise in self._promises:
            verdict = "held" if not promise.problems else "BROKEN"
            all_held = all_held and not promise.problems
            self._print(f"promise: {promise.text}: {verdict}")
            for problem in promise.problems[:5]:
                self._print(f"    {problem}")
        self.exit_code = 0 if all_held else 1
        self._print("every promise held" if all_held else "a promise was broken")
        if self._stay:
            self._show_addresses()
        else:
            self.loop.stop()

    def _show_addresses(self) -> None:
        for vm in self.deployment.vm_by_name.values():
            click.echo(
                f"{vm.name}: callers {vm.calls}, operators {vm.peers}, "
                f"{vm.location.domain} in {vm.location.region}"
            )
        vm = next(iter(self.deployment.vm_by_name.values()))
        click.echo(f"log: {self.deployment.log_address}")
        click.echo(f"try: curl -i http://{vm.calls}/status/batch-1/look")
        click.echo("stop with Ctrl-C")


@click.command("rhubarb-demo")
@option("--base-port", type=click.IntRange(1024, 65_000), default=17_000)
@option(
    "--stay", is_flag=True, help="Keep running after the checks, for trying by hand."
)
@option("--events", type=click.File("w"), default=None, help="File for the log events.")
def command(base_port, stay, events) -> int:
    """Show that a deployment keeps its promises through a drain and a loss."""
    eliot.add_destinations(lambda message: None)
    if events is not None:
        eliot.to_file(events)
    demo = Demo(base_port, stay)
    demo.loop.run()
    return demo.exit_code


def main() -> None:
    """Run the program."""
    run(command)
