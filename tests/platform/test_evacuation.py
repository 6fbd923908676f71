"""Routers over real sockets while operators evacuate a failure domain."""

from __future__ import annotations

from tests.platform.test_path import HOST, VMS, configuration
from tests.platform.virtual_time import VirtualTimeTestCase

OPERATOR_TOPIC = "keyed.op"
RECORD = "evacuate/r1-z"
DOMAIN = "r1-z"
#: VMs of the domain; the target of one of them is divided by key.
INSIDE = [vm for vm, (_, region) in enumerate(VMS) if region == "r1"]
#: Time after which no request may reach a target of the domain, in seconds.
BOUND_S = 5.0


class EvacuationTests(VirtualTimeTestCase):
    def setUp(self):
        super().setUp()
        body = configuration(3).replace(b"h.example", HOST.encode())
        self.store.put(OPERATOR_TOPIC, "config", body)
        self.tick_until(
            lambda: all(r.request_router.routing.version == 3 for r in self.routers),
            4.0,
        )

    def evacuate(self) -> None:
        self.store.put(OPERATOR_TOPIC, RECORD, b"{}")

    def knows(self, *domains: str) -> bool:
        """Return whether exactly these domains are evacuated, for all routers."""
        return all(
            router.evacuations.state.domains == set(domains) for router in self.routers
        )

    def runs_inside(self) -> int:
        return sum(len(self.targets[vm].executed_requests) for vm in INSIDE)

    def send_from_all(self, name: str) -> None:
        """Send requests of each kind from each VM; all have to be answered."""
        for vm in range(len(VMS)):
            for path, headers in (
                (f"/look/{name}{vm}", {}),
                (f"/status/{name}{vm}", {"Shard_Key": "5"}),
                (f"/status/{name}{vm}b", {"Shard_Key": "65000"}),
            ):
                answer = self.send_request(vm, path, **headers)
                self.assertEqual(answer.status, 200, (path, answer))

    # Guards against: requests that reach a target of the domain after the bound, by any
    # daemon, also one of the domain itself.
    def test_no_request_reaches_the_domain_until_it_is_taken_back(self):
        self.send_from_all("before")
        self.assertGreater(self.runs_inside(), 0)
        self.evacuate()
        self.pass_time(BOUND_S)
        before = self.runs_inside()
        self.send_from_all("during")
        self.assertEqual(self.runs_inside(), before)
        self.store.put(OPERATOR_TOPIC, RECORD, b"")
        self.tick_until(lambda: self.knows(), BOUND_S)
        self.send_from_all("after")
        self.assertGreater(self.runs_inside(), before)

    # Guards against: an evacuation known too late, as readers wait on connections to
    # the store that went silent without a reset.
    def test_it_is_known_in_time_after_all_connections_went_silent(self):
        self.store.silence_connections()
        self.evacuate()
        self.tick_until(lambda: self.knows(DOMAIN), BOUND_S / 2)

    # Guards against: a router that sends requests to the domain after its start, as it
    # has not read the evacuation.
    def test_a_router_that_starts_again_knows_it_before_it_is_ready(self):
        self.evacuate()
        self.tick_until(lambda: self.knows(DOMAIN), BOUND_S)
        self.close_router(self.routers[0])
        self.routers[0].unregister()
        for _ in range(20):
            self.loop.manager.tick(0.0)
        self.routers[0] = router = self.new_router(0)
        self.tick_until(router.is_ready, 12.0)
        self.assertEqual(router.placement_rules.evacuated_domains, {DOMAIN})
        before = self.runs_inside()
        self.send_request(0, "/look/again")
        self.assertEqual(self.runs_inside(), before)

    # Guards against: an evacuation without an end, as its record is gone when the topic
    # is read anew.
    def test_a_record_that_is_gone_from_the_newest_ones_takes_the_domain_back(self):
        older = self.store.copy()
        self.evacuate()
        self.tick_until(lambda: self.knows(DOMAIN), BOUND_S)
        self.store.restore(older)
        self.tick_until(lambda: self.knows(), BOUND_S)
