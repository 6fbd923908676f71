"""The core of one daemon: builds its parts and registers them with one kernel.

The core takes events and yields commands. Adapters turn input into events and carry the
commands out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import rhubarbhall.plugins  # noqa: F401  # policies register themselves
from rhubarbhall.core import balancing, events
from rhubarbhall.core.appends import Appender
from rhubarbhall.core.balancing import Balancer
from rhubarbhall.core.drain import Drain
from rhubarbhall.core.failover import Collector
from rhubarbhall.core.follower import Follower
from rhubarbhall.core.handover import Ownership
from rhubarbhall.core.hotkeys import HotKeyBalancer
from rhubarbhall.core.kernel import Kernel
from rhubarbhall.core.lease import MemberLease
from rhubarbhall.core.membership import Membership
from rhubarbhall.core.order_dispatcher import OrderDispatcher
from rhubarbhall.core.rebalance import Rebalancer
from rhubarbhall.core.reporting import Reporter
from rhubarbhall.core.routing import Router
from rhubarbhall.core.snapshotter import Snapshotter
from rhubarbhall.core.witness import Witness
from rhubarbhall.core.witness_set import WitnessSet

if TYPE_CHECKING:
    from rhubarbhall.core.commands import Command
    from rhubarbhall.core.context import Context
    from rhubarbhall.core.events import Event
    from rhubarbhall.types import MemberId, Seconds

#: Default number of records of the log between two snapshots.
SNAPSHOT_EVERY = 2_000


class Node:
    """All decisions of one daemon, without input or output.

    The parts are attributes, so that tests, metrics and the dump can read their state.

    Parameters
    ----------
    context : Context
        State that all parts share: identity, timers and directory.
    new_member_id : callable
        Returns a member id that no run has had before.
    snapshot_every : int
        Number of records of the log between two snapshots.
    balancing_policy : str
        Name of the policy that chooses targets for requests without an owner.
    """

    def __init__(
        self,
        context: Context,
        new_member_id: Callable[[], MemberId],
        snapshot_every: int = SNAPSHOT_EVERY,
        balancing_policy: str = balancing.DEFAULT_POLICY,
    ) -> None:
        self.context = context
        self.kernel = Kernel(context.timers)
        self.lease = MemberLease(context)
        self.witness = Witness(context, self.lease)
        self.ownership = Ownership(context)
        self.order_dispatcher = OrderDispatcher(context, self.lease, self.ownership)
        self.balancer = Balancer(context, balancing_policy)
        self.router = Router(context, self.balancer)
        self.membership = Membership(context, new_member_id)
        self.drain = Drain(
            context,
            self.membership,
            self.ownership,
            self.order_dispatcher,
            self.router,
            self.witness,
        )
        # Parts handle an event in this order: the lease ends before slices are checked,
        # and slices that were moved away are no longer served before waiting requests
        # for them are refused.
        self.appender = Appender(context)
        for part in (
            Follower(context),
            self.appender,
            self.lease,
            self.witness,
            Collector(context),
            WitnessSet(context, self.lease),
            self.ownership,
            Rebalancer(context, self.lease, self.ownership),
            Snapshotter(context, snapshot_every),
            self.order_dispatcher,
            HotKeyBalancer(context, self.lease, self.ownership, self.order_dispatcher),
            self.router,
            self.drain,
            Reporter(context),
            self.membership,
        ):
            self.kernel.register(part)

    def step(self, now: Seconds, event: Event) -> Iterator[Command]:
        """Handle one event; `now` is the local monotonic time, in seconds."""
        return self.kernel.step(now, event)

    def step_timers(self, now: Seconds) -> Iterator[Command]:
        """Handle the timers that are due at `now`."""
        return self.kernel.step_timers(now)

    def start(self, now: Seconds) -> Iterator[Command]:
        """Start to follow the log and to join the mesh."""
        return self.kernel.step(now, events.Started())

    def servable_slices(self, now: Seconds) -> frozenset:
        """Return the slices that this member may serve at `now`."""
        if not self.lease.is_held(now):
            return frozenset()
        return self.ownership.served
