"""The ports of the deployment that the tests of this folder start."""

from __future__ import annotations

import itertools
import unittest
from unittest import mock

from tests.untrusted import deployment
from tests.untrusted.deployment import SERVICES, Ports


class PortsTests(unittest.TestCase):
    # Guards against: a router that cannot listen, as a port was drawn for two of them.
    def test_no_port_is_drawn_twice(self):
        # The kernel may return a port again as soon as it is free.
        same_ports = mock.Mock(side_effect=lambda count: list(range(100, 100 + count)))
        with mock.patch.object(deployment, "free_ports", same_ports):
            ports = Ports.draw()
        drawn = [ports.by_service[service].values() for service in SERVICES]
        all_ports = [ports.store, *itertools.chain.from_iterable(drawn)]
        self.assertEqual(len(set(all_ports)), 1 + 5 * len(SERVICES))


if __name__ == "__main__":
    unittest.main()
