"""Cold targets and their load, through whole routers and stand-ins for targets."""

from __future__ import annotations

from tests.platform import test_path
from tests.platform.test_path import HOST, configuration


class ColdTargetTests(test_path.RouterTestCase):
    """Targets of services that state what a cold target accepts."""

    PACE = b'"max_connections":20,"warmup":"3s","warmup_per_s":0.5'

    send_many = test_path.TargetNoticeTests.send_many

    def setUp(self):
        super().setUp()
        body = configuration(3).replace(b"h.example", HOST.encode())
        body = body.replace(b'"max_connections":20', self.PACE)
        self.store.put("keyed.op", "config", body)
        self.tick_until(
            lambda: all(r.request_router.routing.version == 3 for r in self.routers),
            4.0,
        )

    def set_warmup(self, vm: int, left: str) -> None:
        self.targets[vm].behaviour.warmup_left = left
        warmup, is_cold = self.routers[vm].admission_queue.warmup, left != "0ms"
        self.tick_until(lambda: warmup.is_cold(self.routers[vm].now()) is is_cold, 4.0)

    # Guards against: a target that came back and gets requests of all daemons.
    def test_requests_beyond_the_pace_go_to_another_target(self):
        cold, other = self.targets[2], self.targets[3]
        self.set_warmup(2, "30000ms")
        answers = self.send_many("/look/more", 16)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertLessEqual(len(cold.executed_requests), 5)
        self.assertGreaterEqual(len(other.executed_requests), 11)

    def test_keys_of_a_cold_owner_are_refused_with_a_time_to_retry_after(self):
        self.set_warmup(0, "30000ms")
        answers = self.send_many("/status/more", 24, Shard_Key="5")
        self.assertLessEqual(len(self.targets[0].executed_requests), 5)
        refused = [answer for answer in answers if answer.status != 200]
        self.assertGreaterEqual(len(refused), 19)
        for answer in refused:
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", dict(answer.headers))
        self.set_warmup(0, "0ms")
        answers = self.send_many("/status/warm", 12, Shard_Key="5")
        self.assertEqual({answer.status for answer in answers}, {200})

    def test_the_slowdown_of_a_target_reaches_the_other_daemons(self):
        self.targets[0].behaviour.stated_load = "1,0,4,312"
        self.send_many("/status/more", 8, Shard_Key="5")
        owner = self.routers[0].local_address
        for router in self.routers[1:]:
            load = router.chooser.view(owner).load
            self.assertEqual(load.slowdown, 3.12)
