"""Requests run only where the rules in force allow it, on each way to a target.

The failure that these tests guard against is a body in a region that its route does not
allow: the sender decides, so nothing may be forwarded there.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from rhubarbhall.adapters.peer_outcomes import decode_outcome, encode_outcome
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.key_table import Claim, KeyTable
from rhubarbhall.core.ownership.records import (
    Member,
    TargetState,
    encode_member,
    member_key,
)
from rhubarbhall.core.traffic.eligibility import LocalPlace
from rhubarbhall.core.traffic.requests import Load, NotRun, RoutedRequest, Unknown
from rhubarbhall.core.traffic.routes import RoutingTable
from rhubarbhall.platform.operator import parse_configuration
from tests.core.traffic.test_admission_queue import ANSWER, REQUEST
from tests.core.traffic.test_request_router import (
    FAR,
    LOCAL,
    NEAR,
    RequestRouterCase,
    routing,
)

CLAIMS = {address: Claim(address, "r") for address in (LOCAL, NEAR, FAR)}
FAILED = Unknown(ErrorKind.TARGET_UNREACHABLE)


def allowing(*regions: str, version: int = 2) -> RoutingTable:
    """Return the usual configuration with these allowed regions on all routes."""
    table = routing(version)
    routes = [
        replace(each, permitted_regions=frozenset(regions)) for each in table.routes
    ]
    return replace(table, routes=tuple(routes))


class EligibilityCase(RequestRouterCase):
    def setUp(self):
        super().setUp()
        self.add_member(LOCAL, "keyed", "r1")

    def put_in_force(self, table: RoutingTable, now: float = 0.0) -> None:
        self.router.routing = table
        self.queue.on_placement_changed(now)

    def own(self, owner: str) -> KeyTable:
        """Let the keys of the service that is divided by key have one owner."""
        table = KeyTable.divided([CLAIMS[owner]])
        self.set_table(table, 10)
        return table

    def sent_to(self) -> list[str]:
        return [address for address, _ in self.peers.sent]

    def assert_refused(self, kind: ErrorKind) -> None:
        self.assertEqual(len(self.replies), 1)
        reply = self.replies[0]
        self.assertIsInstance(reply, NotRun)
        self.assertIs(reply.kind, kind)
        self.assertGreater(reply.retry_after_s, 0.0)


class WaysToATargetTests(EligibilityCase):
    def test_a_first_send_goes_to_an_allowed_region_though_another_is_nearer(self):
        self.put_in_force(allowing("r2"))
        self.submit("/look/1")
        self.assertEqual(self.sent_to(), [FAR])

    def test_a_region_without_a_target_is_no_reason_to_leave_it(self):
        self.put_in_force(allowing("r3"))
        self.submit("/look/1")
        self.assertEqual(self.sent_to(), [])
        self.assert_refused(ErrorKind.NO_TARGET)

    def test_a_retry_stays_in_the_allowed_regions(self):
        self.put_in_force(allowing("r2"))
        self.submit("/look/1")
        self.outcome(0.1, FAILED)
        self.assertEqual(self.sent_to(), [FAR])

    def test_a_request_that_a_stopping_daemon_refuses_stays_there(self):
        self.put_in_force(allowing("r2"))
        self.submit("/look/1")
        self.outcome(0.1, NotRun(ErrorKind.SHUTTING_DOWN, 0.5))
        self.assertEqual(self.sent_to(), [FAR])
        self.assert_refused(ErrorKind.SHUTTING_DOWN)

    def test_a_choice_by_hash_is_among_allowed_targets(self):
        chooser, eligible = self.router._chooser, self.eligibility("r2")
        chosen = {
            chooser.choose_by_hash(0.0, "pay", bytes([number]), (), eligible)
            for number in range(20)
        }
        self.assertEqual(chosen, {FAR})

    def eligibility(self, *regions: str):
        self.router.routing = allowing(*regions)
        return self.rules.eligibility(
            replace(REQUEST, host="h.example", path="/look/1")
        )

    def test_the_local_target_is_left_out_too(self):
        local = self.directory.member_by_address[LOCAL]
        self.local_target.service, self.local_target.member = "pay", local
        eligible = self.eligibility("r2")
        chosen = self.router._chooser.choose(0.0, "pay", "look", (), 1.0, eligible)
        self.assertEqual(chosen, FAR)

    def test_a_request_that_waits_for_a_connection_takes_the_rules_in_force(self):
        self.peers.opening = {NEAR}
        self.submit("/look/1")
        self.put_in_force(allowing("r2"))
        self.peers.opening = set()
        self.router.on_peer_connected(0.01, NEAR)
        self.assertEqual(self.sent_to(), [FAR])

    def test_a_request_whose_owner_is_not_allowed_is_refused_at_once(self):
        self.own(NEAR)
        self.put_in_force(allowing("r2"))
        self.submit("/status/1", key=5)
        self.assertEqual(self.sent_to(), [])
        self.assert_refused(ErrorKind.REGION_NOT_ALLOWED)

    def test_a_local_owner_that_is_not_allowed_gets_nothing(self):
        self.own(LOCAL)
        self.put_in_force(allowing("r2"))
        self.submit("/status/1", key=5)
        self.assertEqual(self.target.sent, {})
        self.assert_refused(ErrorKind.REGION_NOT_ALLOWED)

    def test_a_request_that_waits_for_a_key_takes_the_rules_in_force(self):
        self.own(NEAR)
        self.submit("/status/1", key=5)
        self.outcome(0.0, NotRun(ErrorKind.NOT_OWNER))
        self.put_in_force(allowing("r2"))
        self.fire_timers(0.06)
        self.assertEqual(self.sent_to(), [NEAR])
        self.assert_refused(ErrorKind.REGION_NOT_ALLOWED)

    def test_the_next_owner_gets_a_key_whose_previous_one_is_not_allowed(self):
        table = self.own(NEAR)
        last = table.spans[-1].last
        self.set_table(table.moved([((0, last), CLAIMS[FAR])]), 11)
        self.add_member(FAR, "keyed", "r2")
        self.put_in_force(allowing("r2"))
        self.submit("/status/1", key=5)
        self.assertEqual(self.sent_to(), [FAR])

    def test_an_owner_of_an_unknown_region_gets_nothing(self):
        unknown = "10.0.0.9:1"
        self.set_table(KeyTable.divided([Claim(unknown, "r")]), 10)
        self.put_in_force(allowing("r2"))
        self.submit("/status/1", key=5)
        self.assertEqual(self.sent_to(), [])
        self.assert_refused(ErrorKind.REGION_NOT_ALLOWED)


class RulesInForceTests(EligibilityCase):
    """The daemons of sender and receiver may know different configurations."""

    def setUp(self):
        super().setUp()
        self.queue.open(1)
        self.queue.rate_limit.record_answer(0.0, 0.0, None)
        self.outcomes: list = []

    def forward(self, id: str = "q") -> None:
        """Submit a request of a peer, whose configuration allows the local region."""
        request = replace(
            REQUEST, id=id, service="own", host="h.example", path="/look/1"
        )
        self.queue.submit(0.0, request, self.outcomes.append)

    def test_a_receiver_with_a_newer_configuration_refuses(self):
        self.put_in_force(allowing("r2"))
        self.forward()
        self.assertEqual(self.target.sent, {})
        (outcome,) = self.outcomes
        self.assertIs(outcome.kind, ErrorKind.REGION_NOT_ALLOWED)

    def test_requests_that_wait_are_refused_and_running_ones_go_on(self):
        self.forward("running")
        self.forward("waiting")
        self.put_in_force(allowing("r2"))
        self.assertEqual([each.id for each in self.target.sent.values()], ["running"])
        self.assertEqual(self.target.cancelled, [])
        (outcome,) = self.outcomes
        self.assertIs(outcome.kind, ErrorKind.REGION_NOT_ALLOWED)

    def test_a_request_under_way_to_an_allowed_target_goes_on(self):
        self.submit("/look/1")
        self.put_in_force(allowing("r1"))
        self.assertEqual((self.replies, self.peers.cancelled), ([], []))

    def test_the_refusal_of_a_receiver_leads_to_an_allowed_target(self):
        self.submit("/look/1")
        self.put_in_force(allowing("r2"))
        self.outcome(0.1, NotRun(ErrorKind.REGION_NOT_ALLOWED, 1.0))
        self.assertEqual(self.sent_to(), [NEAR, FAR])

    def test_a_route_that_is_gone_keeps_the_regions_that_it_allowed(self):
        self.put_in_force(allowing("r2"))
        self.submit("/look/1")
        self.put_in_force(replace(allowing(), routes=()))
        self.outcome(0.1, FAILED)
        self.assertEqual(self.sent_to(), [FAR])

    def test_routes_without_regions_are_not_matched_again(self):
        self.router.routing = routing()
        request: RoutedRequest = replace(REQUEST, host=None, path=None)
        self.assertIsNone(self.rules.local_refusal(request))


class WireTests(EligibilityCase):
    # Guards against: daemons of earlier builds close a connection that brings an error
    # kind that they do not know, and the requests on it lose their outcomes.
    def test_earlier_builds_get_a_kind_that_they_know(self):
        for kind, expected in (
            (ErrorKind.REGION_NOT_ALLOWED, ErrorKind.NO_TARGET),
            (ErrorKind.DOMAIN_EVACUATED, ErrorKind.SHUTTING_DOWN),
        ):
            frame = encode_outcome(7, NotRun(kind, 1.0), Load())
            self.assertEqual(frame.kind, expected)
            self.assertEqual(decode_outcome(frame), NotRun(kind, 1.0))
            earlier = msgspec.structs.replace(frame, is_ineligible=False)
            self.assertEqual(decode_outcome(earlier), NotRun(expected, 1.0))

    def test_the_configuration_names_allowed_regions(self):
        spec = (
            b'{"version": 3, "resources": [{"resource_type": "routes", "spec": '
            b'{"hostname": "h", "path_prefix": "/", "type": "x", "service": "s"%s}}]}'
        )
        for text, expected in (
            (b"", set()),
            (b', "allowed_regions": []', set()),
            (b', "allowed_regions": ["r1", "r2"]', {"r1", "r2"}),
        ):
            (route,) = parse_configuration(spec % text).routes
            self.assertEqual(route.permitted_regions, expected)


class EvacuationTests(EligibilityCase):
    """Load pattern: requests go on while operators evacuate whole failure domains."""

    def setUp(self):
        super().setUp()
        self.rules.local_place = LocalPlace("r1", "d1")
        self.add_member(NEAR, "pay", "r1", "d1")
        self.add_member(FAR, "pay", "r2", "d2")

    def add_member(self, address, service, region, domain="d1"):
        member = Member(service, domain, region, "r", 9, TargetState.READY)
        offset = 100 + self.directory.state_version
        self.directory.apply(Entry(offset, member_key(address), encode_member(member)))

    def evacuate(self, *domains: str) -> None:
        self.rules.evacuated_domains = frozenset(domains)
        self.queue.on_placement_changed(0.0)

    def test_targets_of_the_domain_are_left_out(self):
        self.evacuate("d1")
        self.submit("/look/1")
        self.assertEqual(self.sent_to(), [FAR])

    def test_the_local_target_is_left_out_and_its_callers_are_served_elsewhere(self):
        self.local_target.service = "pay"
        self.local_target.member = self.directory.member_by_address[NEAR]
        self.evacuate("d1")
        self.submit("/look/1")
        self.assertEqual((self.sent_to(), self.target.sent), ([FAR], {}))

    def test_requests_are_refused_at_once_if_all_domains_are_evacuated(self):
        self.evacuate("d1", "d2")
        self.submit("/look/1")
        self.assertEqual(self.sent_to(), [])
        self.assert_refused(ErrorKind.NO_TARGET)

    def test_an_evacuation_leaves_the_allowed_regions_as_they_are(self):
        self.put_in_force(allowing("r1"))
        self.evacuate("d1")
        self.submit("/look/1")
        self.assertEqual(self.sent_to(), [])
        self.assert_refused(ErrorKind.NO_TARGET)

    def test_targets_are_used_again_after_the_evacuation(self):
        self.evacuate("d1")
        self.evacuate()
        self.submit("/look/1")
        self.assertEqual(self.sent_to(), [NEAR])

    def test_a_daemon_that_knows_no_state_refuses_its_callers(self):
        self.rules.evacuated_domains = None
        self.submit("/look/1")
        self.assert_refused(ErrorKind.NO_CONFIGURATION)

    def test_the_queue_refuses_new_and_waiting_requests_and_running_ones_end(self):
        self.queue.open(1)
        self.queue.rate_limit.record_answer(0.0, 0.0, None)
        outcomes: dict[str, object] = {}

        def submit(id: str) -> None:
            request = replace(REQUEST, id=id, service="own")
            self.queue.submit(0.0, request, lambda told: outcomes.update({id: told}))

        submit("running")
        submit("waiting")
        self.evacuate("d1")
        submit("new")
        self.assertEqual([each.id for each in self.target.sent.values()], ["running"])
        self.assertEqual(
            {id: (told.kind, told.retry_after_s > 0) for id, told in outcomes.items()},
            {
                "waiting": (ErrorKind.DOMAIN_EVACUATED, True),
                "new": (ErrorKind.DOMAIN_EVACUATED, True),
            },
        )
        self.queue.finish(0.1, next(iter(self.target.sent)), ANSWER)
        self.assertEqual(outcomes["running"], ANSWER)

    def test_the_queue_refuses_requests_by_key_as_those_of_another_owner(self):
        self.queue.open(1)
        self.keys.held = {5}
        self.evacuate("d1")
        outcomes: list = []
        request = replace(REQUEST, service="own", key=5)
        self.queue.submit(0.0, request, outcomes.append)
        self.assertEqual(outcomes, [NotRun(ErrorKind.NOT_OWNER)])

    def test_a_request_waits_for_a_key_that_moves_out_of_the_domain(self):
        self.add_member(NEAR, "keyed", "r1", "d1")
        self.add_member(FAR, "keyed", "r2", "d2")
        table = self.own(NEAR)
        self.evacuate("d1")
        self.submit("/status/1", key=5)
        self.assertEqual((self.sent_to(), self.replies), ([], []))
        last = table.spans[-1].last
        self.set_table(table.moved([((0, last), CLAIMS[FAR])]), 11)
        self.fire_timers(0.06)
        self.assertEqual(self.sent_to(), [FAR])

    def test_a_request_for_a_key_that_nobody_may_take_is_refused_at_once(self):
        self.add_member(NEAR, "keyed", "r1", "d1")
        self.add_member(FAR, "keyed", "r2", "d2")
        self.own(NEAR)
        self.evacuate("d1", "d2")
        self.submit("/status/1", key=5)
        self.assertEqual(self.sent_to(), [])
        self.assert_refused(ErrorKind.DOMAIN_EVACUATED)
