"""Checks sole ownership and at-most-once execution under random faults."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, Verbosity, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.properties.machine import OwnershipMachine

SETTINGS = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    verbosity=Verbosity.quiet,
    print_blob=False,
    suppress_health_check=list(HealthCheck),
)


#: Seed of the examples that are drawn from `UncheckedOwnershipMachine`.
UNCHECKED_OWNERSHIP_SEED = int(
    "6993d4a3947032ec0c02e271df5c952d2d5f3c7c6a9ba896"
    "6cc72c66f38c22113ede07d2428f0633288f5e8068359714",
    16,
)


@seed(UNCHECKED_OWNERSHIP_SEED)
class UncheckedOwnershipMachine(OwnershipMachine):
    """The same faults with targets that do not check grants."""

    checks_grants = False


class OwnershipTests(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        run_state_machine_as_test(OwnershipMachine, settings=SETTINGS)

    def test_sole_ownership_with_targets_that_check_nothing(self):
        run_state_machine_as_test(UncheckedOwnershipMachine, settings=SETTINGS)


if __name__ == "__main__":
    unittest.main()
