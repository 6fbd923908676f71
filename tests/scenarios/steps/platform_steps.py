"""Steps of platform.feature: ownership of keys on the users' platform.

The steps run a simulated mesh on a virtual clock. Times in steps are virtual seconds.
"""

from __future__ import annotations

from behave import given, then, when

from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.ownership.records import TargetState
from tests.core.ownership.mesh import OwnershipMesh

#: Time from the start until all keys are assigned and every lease is held, in seconds.
START_TIMEOUT_S = 14.0
#: Time for which all keys must have a holder to count as stable, in seconds. It is
#: longer than the longest grant, so that no grant from before the fault is counted.
STABLE_S = 4.0
#: Interval at which the number of held keys is checked, in seconds.
CHECK_INTERVAL_S = 0.1


def _held_key_count(context) -> int:
    return sum(context.mesh.owners().values())


def _run(context, seconds: float) -> None:
    """Advance the clock, and record the lowest number of keys that had a holder.

    Fails if a key had two holders, or if a fence did not increase.
    """
    simulation = context.mesh.simulation
    end = simulation.now + seconds
    while simulation.now < end - CHECK_INTERVAL_S / 2:
        simulation.run_until(simulation.now + CHECK_INTERVAL_S)
        context.lowest_held = min(context.lowest_held, _held_key_count(context))
    assert context.mesh.overlaps == [], context.mesh.overlaps[:3]


def _run_until(context, condition, limit_s: float) -> None:
    """Advance the clock until `condition` is true; fail after `limit_s`."""
    simulation = context.mesh.simulation
    end = simulation.now + limit_s
    while not condition():
        assert simulation.now < end, (
            f"{_held_key_count(context)} of {KEY_COUNT} keys are held"
        )
        _run(context, CHECK_INTERVAL_S)


def _daemon(context, number: int):
    return context.mesh.daemons[number - 1]


@given("{count:d} routers on the platform's store")
def step_mesh(context, count):
    context.mesh = OwnershipMesh(seed=7, count=count)
    context.lowest_held = KEY_COUNT
    context.mesh.simulation.run_until(START_TIMEOUT_S)
    assert _held_key_count(context) == KEY_COUNT
    context.owners_before = context.mesh.owners()


@when("VM {number:d} is lost")
def step_lose(context, number):
    _daemon(context, number).kill()
    _daemon(context, number).target.is_up = False


@when("every router is killed and restarted after {seconds:g} s")
def step_restart_all(context, seconds):
    for daemon in context.mesh.daemons:
        daemon.kill()
        context.mesh.simulation.after(seconds, daemon.start)
    _run(context, seconds)


@when("the store is unavailable for {seconds:g} s")
def step_store_unavailable(context, seconds):
    context.mesh.log.down = True
    context.outage_s = seconds
    context.mesh.simulation.after(
        seconds, lambda: setattr(context.mesh.log, "down", False)
    )


@when("the store loses the answers to half of the appends for {seconds:g} s")
def step_lose_answers(context, seconds):
    log = context.mesh.log
    log.lose_answers = 0.5
    context.mesh.simulation.after(seconds, lambda: setattr(log, "lose_answers", 0.0))


@when("router {number:d} is suspended for {seconds:g} s")
def step_suspend(context, number, seconds):
    daemon = _daemon(context, number)
    daemon.is_frozen = True
    _run(context, seconds)
    daemon.is_frozen = False


@when("VM {number:d} is partitioned for {seconds:g} s")
def step_partition(context, number, seconds):
    daemon = _daemon(context, number)
    daemon.is_cut_from_store = daemon.is_cut_from_peers = True
    _run(context, seconds)
    daemon.is_cut_from_store = daemon.is_cut_from_peers = False


@when("the target of VM {number:d} leaves")
def step_leave(context, number):
    target = _daemon(context, number).target
    target.state = TargetState.LEAVING
    context.leaving = target


@then("every key has a holder within {seconds:g} s")
def step_all_held(context, seconds):
    # A grant from before the fault may still expire within the limit, so the keys are
    # counted only after it, for longer than such a grant can last.
    _run(context, seconds)
    context.lowest_held = KEY_COUNT
    _run(context, STABLE_S)
    assert context.lowest_held == KEY_COUNT, (
        f"{context.lowest_held} of {KEY_COUNT} keys are held"
    )


@then("every key had a holder throughout")
def step_always_held(context):
    _run(context, context.outage_s + 1.0)
    assert context.lowest_held == KEY_COUNT, context.lowest_held


@then("each target owns as many keys as before")
def step_as_before(context):
    assert context.mesh.owners() == context.owners_before


@then("the target of VM {number:d} holds keys again within {seconds:g} s")
def step_holds(context, number, seconds):
    target = _daemon(context, number).target
    _run_until(context, lambda: bool(target.holdings()), seconds)


@then("the other targets hold every key within {seconds:g} s")
def step_others_hold(context, seconds):
    def others_hold() -> bool:
        remaining = context.mesh.owners().get(context.leaving.instance, 0)
        return remaining == 0 and _held_key_count(context) == KEY_COUNT

    _run_until(context, others_hold, seconds)
