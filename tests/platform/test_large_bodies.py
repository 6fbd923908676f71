"""Large bodies of requests, over sockets: what a router keeps of them."""

from __future__ import annotations

import gc
import unittest
from dataclasses import replace
from http import HTTPStatus

from rhubarbhall.core.traffic.pending_requests import CallerRequest
from rhubarbhall.core.traffic.requests import RoutedRequest
from tests.platform.test_path import address
from tests.platform.virtual_time import VirtualTimeTestCase

BODY_BYTES = 1 << 20
#: VM of the callers, and the two whose targets take the bodies.
CALLER, TARGETS = 0, (2, 3)
TIMEOUT_MS = 10_000


class LargeBodiesCase(VirtualTimeTestCase):
    def setUp(self):
        super().setUp()
        self.route_by_address()
        for vm in TARGETS:
            port = self.targets[vm].port
            port.limit(replace(port._limits, max_body=64 << 20))

    def put(self, name: str, size: int = BODY_BYTES) -> list:
        """Begin to send a body; return the list that gets the answer."""
        results: list = []
        headers = (("Request-Id", name), ("Timeout-Ms", str(TIMEOUT_MS)))
        self.client.fetch(
            address(CALLER, 2),
            "PUT",
            f"/look/{name}",
            headers,
            bytes(size),
            TIMEOUT_MS / 1000,
            results.append,
        )
        return results

    def put_and_wait(self, name: str, size: int = BODY_BYTES) -> int:
        results = self.put(name, size)
        self.tick_until(lambda: results, TIMEOUT_MS / 1000)
        return results[0].status

    def kept_bodies(self) -> list[str]:
        """Return the ids of the requests whose bodies are in memory."""
        return [
            each.id
            for each in gc.get_objects()
            if isinstance(each, RoutedRequest | CallerRequest) and len(each.body) > 1000
        ]


class KeptBodiesTests(LargeBodiesCase):
    # A router kept each body until the deadline of its request, and was killed over its
    # memory limit with all requests that were under way (LOST).
    def test_no_body_is_kept_once_its_request_is_answered(self):
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for number in range(4):
            self.assertEqual(self.put_and_wait(f"u{number}"), HTTPStatus.OK)
        self.assertEqual(self.kept_bodies(), [])


class BoundedBodiesTests(LargeBodiesCase):
    """Bodies of many callers at a time took a router over its memory limit (LOST)."""

    LIMIT = 4 << 20

    def setUp(self):
        super().setUp()
        for router in self.routers:
            router.body_budget.limit = self.LIMIT

    def test_uploads_together_stay_within_the_room_and_leave_nothing(self):
        answers = [self.put(f"u{number}") for number in range(12)]
        most = 0

        def are_answered() -> bool:
            nonlocal most
            most = max(most, *(r.body_budget.reserved for r in self.routers))
            return all(answers)

        self.tick_until(are_answered, TIMEOUT_MS / 1000)
        statuses = [results[0].status for results in answers]
        self.assertLessEqual(
            set(statuses), {HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE}
        )
        self.assertIn(HTTPStatus.OK, statuses)
        self.assertLessEqual(most, self.LIMIT)
        self.tick_until(
            lambda: not any(router.body_budget.used for router in self.routers), 3.0
        )

    def test_small_requests_are_served_beside_bodies_without_room(self):
        self.routers[CALLER].body_budget.limit = 0
        self.assertEqual(self.put_and_wait("large"), HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertEqual(self.put_and_wait("small", 1000), HTTPStatus.OK)

    def test_a_target_without_room_is_passed_over(self):
        self.routers[TARGETS[0]].body_budget.limit = 0
        for number in range(6):
            self.assertEqual(self.put_and_wait(f"u{number}"), HTTPStatus.OK)
        self.assertEqual(self.targets[TARGETS[0]].executed_requests, [])


class UnknownLimitsTests(LargeBodiesCase):
    # A router that had just started refused proper bodies with 413, for good.
    def test_a_body_is_not_refused_for_good_before_a_configuration_is_known(self):
        self.close_router(self.routers[CALLER])
        self.routers[CALLER].unregister()
        self.store.faults.refuses = True
        self.routers[CALLER] = self.new_router(CALLER)
        self.assertEqual(
            self.put_and_wait("early", 2 << 20), HTTPStatus.SERVICE_UNAVAILABLE
        )


if __name__ == "__main__":
    unittest.main()
