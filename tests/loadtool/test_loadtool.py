from __future__ import annotations

import random
import unittest
from collections import Counter
from pathlib import Path

from rhubarbhall.audit import Outcome
from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.core.intent import intent_from_toml
from rhubarbhall.loadtool.generator import KeyChooser, arrivals
from rhubarbhall.loadtool.mix import Kind, Mix, Phase, mix_from_toml
from rhubarbhall.loadtool.results import KindResult, judge, summarize
from rhubarbhall.standins.target import Execution

EXAMPLES = Path(__file__).parents[2] / "examples"


def outcome(**changes) -> Outcome:
    values = {
        "mark": "/look/1", "key": "k", "sent_at": 0.0, "ended_at": 0.1, "status": 200,
        "kind": "", "ran": "yes", "echoed_key": "k",
    }  # fmt: skip
    return Outcome(**{**values, **changes})


def execution(**changes) -> Execution:
    values = {
        "fence": "a", "slice": "s/1", "epoch": 1, "key": "k", "method": "POST",
        "path": "/look/1", "idempotency_key": "", "started_at": 0.0, "ended_at": 1.0,
    }  # fmt: skip
    return Execution(**{**values, **changes})


class MixTests(unittest.TestCase):
    def test_the_examples_are_valid(self):
        for path in EXAMPLES.glob("*.toml"):
            text = path.read_text(encoding="utf-8")
            parse = mix_from_toml if path.stem.endswith("-load") else intent_from_toml
            with self.subTest(path=path.name):
                parse(text, path.name)

    def test_all_mistakes_are_reported_together(self):
        text = "[[phases]]\nseconds = 0\nrate = 1\n[[kinds]]\nnme = 'x'\n[other]\n"
        with self.assertRaises(ConfigurationError) as caught:
            mix_from_toml(text, "m.toml")
        problems = "\n".join(caught.exception.problems)
        for expected in ("m.toml: other", "m.toml: phases[0]", "m.toml: kinds[0]"):
            self.assertIn(expected, problems)

    def test_arrivals_follow_the_rate_of_each_phase(self):
        mix = Mix((Phase(10.0, 50.0), Phase(5.0, 0.0), Phase(10.0, 200.0)), ())
        times = list(arrivals(mix, random.Random(1)))
        self.assertEqual(times, sorted(times))
        self.assertAlmostEqual(sum(t < 10 for t in times), 500, delta=90)
        self.assertEqual(sum(10 <= t < 15 for t in times), 0)
        self.assertAlmostEqual(sum(t >= 15 for t in times), 2000, delta=180)

    def test_skewed_keys_are_uneven(self):
        chooser = KeyChooser(Kind("k", "s", keys=50, skew=1.0))
        rng = random.Random(2)
        counts = Counter(chooser.draw(rng) for _ in range(5_000))
        self.assertGreater(counts["k-0"], 5 * counts["k-20"])


class ResultTests(unittest.TestCase):
    def test_a_summary_has_the_latencies_of_answered_requests_only(self):
        result = KindResult()
        for number in range(100):
            result.record("answered", 0.001 * (number + 1))
        result.record("overloaded", 9.0)
        summary = summarize("look", result, 10.0)
        self.assertEqual((summary.sent, summary.answered), (101, 100))
        self.assertAlmostEqual(summary.p50_ms, 50, delta=1)
        self.assertAlmostEqual(summary.max_ms, 100, delta=1)
        self.assertEqual(summary.goodput_per_s, 10.0)

    def broken_promises(self, outcomes, executions) -> list[str]:
        return [each.promise for each in judge(outcomes, executions) if each.problems]

    def test_each_promise_is_audited(self):
        self.assertEqual(self.broken_promises([outcome()], [execution()]), [])
        self.assertEqual(
            self.broken_promises([outcome(echoed_key="other")], None),
            ["own, whole answers"],
        )
        overlap = [execution(), execution(fence="b", started_at=0.5, ended_at=2.0)]
        self.assertEqual(self.broken_promises([], overlap), ["one owner of each slice"])
        twice = [execution(idempotency_key="x"), execution(idempotency_key="x")]
        self.assertEqual(self.broken_promises([], twice), ["at most once"])
        false = outcome(ran="no", kind="overloaded")
        self.assertEqual(
            self.broken_promises([false], [execution()]), ["'not run' never ran"]
        )
