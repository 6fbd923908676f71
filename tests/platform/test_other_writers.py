"""Heartbeats beside those of a live target, over sockets.

They are of another writer, which leaves fields out, or of a former run of the target
and late on their way. Two targets held the same keys, or one held none any more.
"""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus

import msgspec

from rhubarbhall.core.ownership.key_table import KEY_COUNT
from rhubarbhall.standins.platform_target import PlatformTarget
from tests.platform.test_path import address
from tests.platform.virtual_time import VirtualTimeTestCase

#: VM that gets the heartbeats; its target is one of two that share the keys.
VM = 0
#: Time between two of them, and between two of the live target, in seconds.
INTERVAL_S = 0.4
TARGET_INTERVAL_S = 0.87
#: Time after the last of them in which all keys are held, in seconds: longer than a
#: grant lasts.
WATCHED_S = 4.0


class OtherWriterTests(VirtualTimeTestCase):
    def setUp(self):
        super().setUp()
        self.keyed = [each for each in self.targets if each.service == "keyed"]
        for target in self.keyed:
            target.behaviour.heartbeat_interval_s = TARGET_INTERVAL_S
        self.tick_until(lambda: self.held_keys() == KEY_COUNT, 12.0)
        self.pass_time(TARGET_INTERVAL_S)

    @property
    def target(self) -> PlatformTarget:
        return self.targets[VM]

    def held_keys(self) -> int:
        """Return how many keys the targets hold; a key of two of them counts twice."""
        ranges = [row for each in self.keyed for row in each._unexpired_ranges()]
        return sum(row.last - row.first + 1 for row in ranges)

    def heartbeat(self, sequence: int, born: int, state: str = "ready") -> dict:
        return {
            "address": self.target.address,
            "born": born,
            "info": {"service": "keyed", "version": "v1", "zone": "z", "slots": 4},
            "status": {"state": state, "sequence": sequence, "warmup_left": "0ms"},
            "holds": [],
            "freed": [],
        }

    def send(self, instance: str, body: dict) -> list[int]:
        """Send a heartbeat; return a list that gets the status of its answer."""
        statuses: list[int] = []
        self.client.fetch(
            address(VM, 4),
            "PUT",
            f"/instances/{instance}",
            (),
            msgspec.json.encode(body),
            1.0,
            lambda response: statuses.append(response.status),
        )
        return statuses

    def assert_all_keys_stay_held(self, seconds: float) -> None:
        end = self.elapsed_s + seconds
        while self.elapsed_s < end:
            self.pass_time(0.02)
            self.assertEqual(self.held_keys(), KEY_COUNT)

    def assert_changes_nothing(self, instance: str, bodies: Iterator[dict]) -> None:
        answers = []
        for body in bodies:
            answers.append(self.send(instance, body))
            self.assert_all_keys_stay_held(INTERVAL_S)
        self.assert_all_keys_stay_held(WATCHED_S)
        for statuses in answers:
            self.assertEqual(statuses, [HTTPStatus.BAD_REQUEST])

    def incomplete(self, names: list[str], first: int, **fields) -> Iterator[dict]:
        """Yield four heartbeats that lack some fields at their top level."""
        for sequence in range(first, first + 4):
            body = self.heartbeat(sequence, **fields)
            yield {name: body[name] for name in body if name not in names}

    def test_a_heartbeat_without_its_start_is_of_no_run(self):
        for state in ("draining", "ready"):
            with self.subTest(state=state):
                bodies = self.incomplete(["born"], 1, born=0, state=state)
                self.assert_changes_nothing("i-other", bodies)

    def test_a_heartbeat_without_keys_frees_none(self):
        later = self.target._born + 5000
        for names in (["holds"], ["freed"], ["holds", "freed"]):
            with self.subTest(names=names):
                bodies = self.incomplete(names, 1, born=later, state="draining")
                self.assert_changes_nothing("i-other", bodies)
                bodies = self.incomplete(names, 1000, born=self.target._born)
                self.assert_changes_nothing(self.target.instance, bodies)

    # Guards against: late heartbeats of a former run that a router which was started
    # again, and knows the live run from its record alone, takes for those of the next.
    def test_heartbeats_of_a_former_run_change_nothing_after_a_restart(self):
        self.close_router(self.routers[VM])
        self.routers[VM].unregister()
        self.pass_time(0.3)
        router = self.routers[VM] = self.new_router(VM)
        former = self.target._born - 60_000
        for sequence in range(7, 17):
            self.send("i-former", self.heartbeat(sequence, former))
            self.pass_time(INTERVAL_S)
        self.tick_until(lambda: self.held_keys() == KEY_COUNT, WATCHED_S)
        self.assert_all_keys_stay_held(WATCHED_S)
        self.assertEqual(router.target.instance, self.target.instance)

    # The way in which a target starts again must not wait for what it held before.
    def test_a_target_that_starts_again_gets_its_keys_at_once(self):
        former = self.target
        former.crash()
        target = self.targets[VM] = self.new_target(VM)
        self.keyed[self.keyed.index(former)] = target
        self.pass_time(0.1)
        target.behaviour.heartbeat_interval_s = TARGET_INTERVAL_S
        target._born = former._born + 1
        target.begin()
        self.tick_until(lambda: target.held, 1.5)
