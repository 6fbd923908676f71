"""Steps of the scenarios of rhubarb-daemon, on fakes and a virtual clock.

The steps for the router on the platform's store are in `platform_steps`.
"""

from __future__ import annotations

import msgspec
from behave import given, then, when

from rhubarbhall import audit
from rhubarbhall.core import events
from rhubarbhall.core.idempotency import mint_key
from rhubarbhall.core.records import open_envelope
from rhubarbhall.core.slices import SliceRef, slice_of_key
from tests.fakes import INTENT, SERVICE, SIX_PLACES, WALL_MS_AT_ZERO, Mesh
from tests.properties.machine import as_execution


def _check_sole_owners(context) -> None:
    context.mesh.assert_sole_owners()


def _run(context, seconds: float) -> None:
    """Let virtual time pass; after each tick check that no slice has two owners."""
    context.mesh.run(seconds, context.check)


def _host(context, number: int):
    """Return the host of a member; members are numbered from 1."""
    return context.mesh.hosts[number - 1]


def _build(context, count: int, checks: bool) -> None:
    """Start a mesh, publish an intent and let ownership and witnesses become stable."""
    context.mesh = Mesh(SIX_PLACES[:count], seed=5, checks_grants=checks)
    context.check = lambda: _check_sole_owners(context)
    context.mesh.publish(INTENT, 0, "op/first")
    context.mesh.run_until(context.mesh.all_served)
    _run(context, 8.0)
    context.calls = []
    context.publishes = 0


@given("a mesh of {count:d} members")
def step_mesh(context, count):
    _build(context, count, checks=True)


@given("a mesh of {count:d} members whose targets do not check grants")
def step_unchecked_mesh(context, count):
    _build(context, count, checks=False)


@when("{seconds:g} s pass")
def step_pass_time(context, seconds):
    _run(context, seconds)


# Faults


@when("member {number:d} is lost")
def step_lose(context, number):
    host = _host(context, number)
    context.lost_slices = set(host.node.ownership.served)
    context.mesh.lose(host)


@when("member {number:d} is restarted")
def step_restart(context, number):
    context.mesh.lose(_host(context, number))
    context.mesh.start(_host(context, number))


@when("member {number:d} is paused")
def step_pause(context, number):
    context.lost_slices = set(_host(context, number).node.ownership.served)
    context.mesh.pause(_host(context, number))


@when("member {number:d} resumes")
def step_resume(context, number):
    context.mesh.resume(_host(context, number))


@when("member {number:d} is partitioned from all other members and the log")
def step_partition_member(context, number):
    host = _host(context, number)
    for other in context.mesh.hosts:
        context.mesh.cut(host, other)
    context.mesh.cuts.add((host.name, "log"))


@when('region "{region}" is partitioned from the log')
def step_partition_region(context, region):
    for host in context.mesh.hosts:
        if host.region == region:
            context.mesh.cuts.add((host.name, "log"))


@when('domain "{domain}" is lost')
def step_lose_domain(context, domain):
    for host in context.mesh.hosts:
        if host.domain == domain:
            context.mesh.lose(host)


@when("the partitions are healed")
def step_heal(context):
    context.mesh.heal()


@when("two witnesses of member {number:d} are lost")
def step_lose_witnesses(context, number):
    member = _host(context, number).node.context.member
    for host in context.mesh.hosts:
        if host.node.context.member_id in member.witnesses[:2]:
            context.mesh.lose(host)


@when("the log goes down")
def step_log_down(context):
    context.mesh.log.up = False


@when("the log recovers")
def step_log_up(context):
    context.mesh.log.up = True
    context.mesh.log.loses_answers = False


@when("the answers of the log are lost")
def step_log_loses_answers(context):
    context.mesh.log.loses_answers = True


@when("each call to the log takes {seconds:g} s")
def step_log_slow(context, seconds):
    context.mesh.log.delay_s = seconds


@when("the target of member {number:d} freezes")
def step_freeze_target(context, number):
    _host(context, number).target.frozen = True


@when("the target of member {number:d} resumes")
def step_resume_target(context, number):
    _host(context, number).target.thaw()


@when("member {number:d} receives a stop request")
def step_stop(context, number):
    host = _host(context, number)
    context.stopped_at = context.mesh.now
    context.mesh._step(host, events.StopRequested())


@when("two operators publish intents that replace the same version")
def step_race(context):
    version = context.mesh.fold().intent_version
    for hold_ms in (1000, 2000):
        context.publishes += 1
        document = msgspec.json.decode(msgspec.json.encode(INTENT))
        document["services"][SERVICE]["hold_ms"] = hold_ms
        context.mesh.publish(document, version, f"op/{context.publishes}")


@when("an operator publishes an intent in which member {number:d} is leaving")
def step_leaving(context, number):
    version = context.mesh.fold().intent_version
    document = msgspec.json.decode(msgspec.json.encode(INTENT))
    document["leaving"] = [{"targets": f"vm={_host(context, number).name}"}]
    context.mesh.publish(document, version, f"op/leaving-{number}")
    context.leaving_since = context.mesh.now


# Requests of callers


def _call(context, number: int, key: str, method: str, credit: str | None) -> None:
    host = _host(context, number)
    request_id = context.mesh.call(host, key, method, credit)
    context.calls.append((host, request_id, key))


def _new_credit(context) -> str:
    return mint_key(WALL_MS_AT_ZERO + int(context.mesh.now * 1000), context.mesh.rng)


@when('a credit for "{key}" is sent to member {number:d}')
def step_credit(context, key, number):
    context.credit = _new_credit(context)
    _call(context, number, key, "POST", context.credit)


@when('the credit for "{key}" is sent again to member {number:d}')
def step_repeat(context, key, number):
    _call(context, number, key, "POST", context.credit)


@when("lookups for {count:d} keys are sent to member {number:d}")
def step_lookups(context, count, number):
    for key in range(count):
        _call(context, number, f"batch-{key}", "GET", None)


@when("the owner of {key} is lost")
def step_lose_owner(context, key):
    ref = _slice_of(context, key)
    owner = context.mesh.members_by_slice()[ref][0]
    for host in context.mesh.hosts:
        if host.node.context.member_id == owner:
            context.mesh.lose(host)


def _slice_of(context, key: str):
    return SliceRef(SERVICE, slice_of_key(key, INTENT["services"][SERVICE]["slices"]))


# Expectations


@then("every slice is served within {seconds:g} s")
def step_served(context, seconds):
    waited = 0.0
    while not context.mesh.all_served():
        assert waited < seconds, f"not every slice is served within {seconds} s"
        _run(context, 0.01)
        waited += 0.01


@then("no member serves the slices of the lost member")
def step_not_served(context):
    served = set(context.mesh.members_by_slice())
    assert not served & context.lost_slices, served & context.lost_slices


@then("every slice is still served")
def step_still_served(context):
    assert context.mesh.all_served()


@then("no member was closed")
def step_none_closed(context):
    closed = context.mesh.fold().closed_by_id
    assert not closed, list(closed)


@then("the guarantees hold")
def step_guarantees(context):
    _run(context, 0.5)
    executions = [as_execution(each) for each in context.mesh.executions]
    assert not audit.find_double_owners(executions), (
        "two owners of one key executed requests"
    )
    assert not audit.find_repeats(executions), (
        "a request with an idempotency key was executed twice"
    )


@then("the credit was executed {count:d} time")
def step_executed(context, count):
    _run(context, 2.0)
    runs = [e for e in context.mesh.executions if e.idempotency_key == context.credit]
    assert len(runs) == count, len(runs)


@then("every request succeeded")
def step_all_succeeded(context):
    _run(context, 2.0)
    for host, request_id, key in context.calls:
        response = host.answers.get(request_id)
        assert response is not None, f"{key}: no answer"
        assert response.kind is None, f"{key}: {response.kind}"
        assert response.body == f"{key} done".encode()


@then('the last request is refused as "{kind}"')
def step_refused(context, kind):
    _run(context, 6.0)
    host, request_id, _ = context.calls[-1]
    response = host.answers[request_id]
    assert response.kind is not None, response
    assert response.kind.value == kind, response.kind


@then("member {number:d} exits within {seconds:g} s")
def step_exits(context, number, seconds):
    waited = 0.0
    while not _host(context, number).exited:
        assert waited < seconds, f"the member has not exited after {seconds} s"
        _run(context, 0.01)
        waited += 0.01


@then("member {number:d} started no request later than {seconds:g} s after that intent")
def step_no_new_requests(context, number, seconds):
    name = _host(context, number).name
    late = [
        each
        for each in context.mesh.executions
        if each.member.startswith(f"{name}-")
        and each.started_at > context.leaving_since + seconds
    ]
    assert not late, late


@then("one of the two intents is in force at every member")
def step_one_in_force(context):
    _run(context, 2.0)
    directory = context.mesh.fold()
    published = [
        each for each in context.mesh.log.stored if each.envelope.id.startswith("op/")
    ]
    assert directory.intent_version == len(published) - 1
    for host in context.mesh.hosts:
        assert host.node.context.directory.intent_document == directory.intent_document


@then("the log holds {count:d} failover record")
def step_failovers(context, count):
    kinds = [
        type(open_envelope(each.envelope)).__name__ for each in context.mesh.log.stored
    ]
    assert kinds.count("Failover") == count, kinds.count("Failover")


@then("{seconds:g} s later no member is without witnesses")
def step_all_witnessed(context, seconds):
    _run(context, seconds)
    members = context.mesh.fold().member_by_id.values()
    unwitnessed = [member.id for member in members if not member.witnesses]
    assert not unwitnessed, f"no member would detect the loss of {unwitnessed}"
