"""Requests for keys over real sockets while the store is restored from a copy."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable

from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.core.ownership.publisher import directory_topic
from rhubarbhall.core.ownership.records import TargetState, table_key
from rhubarbhall.core.requests import Response
from rhubarbhall.standins.platform_target import PlatformTarget
from tests.platform.test_path import VMS, RouterTestCase, address

#: Time between two requests, in seconds.
REQUEST_INTERVAL_S = 0.05
#: Time for which the store refuses all calls before it is restored, in seconds.
AWAY_S = 1.5
#: Time in which the table is written again and keys move, in seconds.
RECOVERY_S = 8.0
#: Number of records of routers that the copy lacks.
LOST_RECORDS = 8
KEYS = (5, 20000, 40000, 65000)


class RestoredOwnershipTests(RouterTestCase):
    def setUp(self):
        super().setUp()
        self.route_by_address()
        self.answers: list[tuple[str, object]] = []
        self.sent = 0
        self.places = itertools.cycle(itertools.product(range(len(VMS)), KEYS))

    def send(self) -> None:
        """Send a request for a key to the next router; the answer comes later."""
        vm, key = next(self.places)
        self.sent += 1
        path = f"/status/{self.sent}"
        headers = (
            ("Request-Id", path),
            ("Timeout-Ms", "2000"),
            ("Shard-Key", str(key)),
        )
        self.client.fetch(
            address(vm, 2),
            "GET",
            path,
            headers,
            b"",
            3.0,
            lambda answer: self.answers.append((f"{path} {key} at {vm}", answer)),
        )

    def serve_until(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Send requests all the time until a condition is met."""
        due = time.monotonic()
        end = due + limit_s
        while not condition():
            self.assertLess(time.monotonic(), end, "condition not met in time")
            if time.monotonic() >= due:
                due += REQUEST_INTERVAL_S
                self.send()
            self.loop.manager.tick(0.01)

    def serve_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        self.serve_until(lambda: time.monotonic() > end, seconds + 1.0)

    def assert_all_served(self) -> None:
        self.tick_until(lambda: len(self.answers) == self.sent, 4.0)
        failed = [
            (request, answer)
            for request, answer in self.answers
            if not isinstance(answer, Response) or answer.status != 200
        ]
        self.assertEqual(failed, [])
        self.assertGreater(self.sent, 20)

    def write_more_records(self) -> None:
        """Let a router write records that an older copy lacks."""
        directory, local = self.routers[2].directory, address(2, 1)
        for number in range(LOST_RECORDS):
            state = TargetState.READY if number % 2 else TargetState.LEAVING
            self.targets[2].state = "ready" if number % 2 else "draining"
            self.serve_until(
                lambda state=state: directory.member_by_address[local].state is state,
                3.0,
            )
        # The record of the departure is deleted last.
        self.serve_until(lambda: not directory.departed_run(local), 3.0)

    def restore(self, older) -> None:
        """Serve requests while the store is away, and restore it."""
        self.store.faults.refuses = True
        self.serve_for(AWAY_S)
        self.store.restore(older)
        self.store.faults.refuses = False

    def table_is_written(self) -> bool:
        """Return whether the table is in the store, and known to every router."""
        written = self.store._partitions.get((directory_topic(1), 0))
        is_stored = written is not None and table_key("keyed") in written.offset_by_key
        return is_stored and not any(
            router.directory.is_restoring("keyed") for router in self.routers
        )

    def holds_all(self, target: PlatformTarget) -> bool:
        return sum(row.last - row.first + 1 for row in target.held) == KEY_COUNT

    # Guards against: keys without a holder, and a table that cannot be written.
    def test_requests_are_served_throughout_and_keys_move_after_a_restore(self):
        older = self.store.copy()
        self.write_more_records()
        self.restore(older)
        self.serve_until(self.table_is_written, RECOVERY_S)
        self.serve_for(1.0)
        self.assert_all_served()
        self.targets[0].state = "draining"
        self.serve_until(lambda: self.holds_all(self.targets[1]), RECOVERY_S)
        self.serve_for(1.0)
        self.assert_all_served()
        # Only the topic of the new epoch is written to.
        old = self.store._partitions[directory_topic(0), 0]
        self.assertEqual(old.end, older.partitions[directory_topic(0), 0].end)

    # Guards against: a moved key goes back to an owner whose leave is forgotten.
    def test_keys_stay_with_their_new_owner_if_the_copy_lacks_the_move(self):
        older = self.store.copy()
        self.write_more_records()
        self.targets[0].state = "draining"
        self.serve_until(lambda: self.holds_all(self.targets[1]), RECOVERY_S)
        self.restore(older)
        self.serve_until(self.table_is_written, RECOVERY_S)
        self.serve_for(1.0)
        self.assert_all_served()
        self.assertTrue(self.holds_all(self.targets[1]))
        self.assertEqual(self.targets[0].held, [])
        states = {
            router.directory.member_by_address[self.routers[0].local_address].state
            for router in self.routers
        }
        self.assertEqual(states, {TargetState.LEAVING})


class RestoredOwnershipByRequestTests(RestoredOwnershipTests):
    """The same for targets that take their keys by requests of their daemons."""

    GRANTS = "request"
