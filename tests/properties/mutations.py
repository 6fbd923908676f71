"""Mutations of the ownership protocol, each of which switches one safety rule off.

Every mutation patches a method or property that has to exist: `patch.object` fails with
`AttributeError` if the name is gone.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from unittest.mock import PropertyMock, patch

from rhubarbhall.core import events
from rhubarbhall.core.directory import Directory
from rhubarbhall.core.failover import Collector
from rhubarbhall.core.handover import Ownership
from rhubarbhall.core.lease import MemberLease
from rhubarbhall.core.members import Member
from rhubarbhall.core.order_dispatcher import OrderDispatcher
from rhubarbhall.core.peer_messages import HeartbeatAnswer
from rhubarbhall.core.timing import Timing
from rhubarbhall.core.witness import Witness
from rhubarbhall.core.witness_set import WitnessSet


def without_majority() -> AbstractContextManager:
    """One witness suffices for a lease and for a verdict."""
    return patch.object(Member, "majority", new_callable=PropertyMock, return_value=1)


def without_permanent_promises() -> AbstractContextManager:
    """A witness renews a lease although it has given a promise not to."""

    def may_renew(self, now, watch):
        return not self.renewals_stopped and self._lease.has_tenure(now)

    return patch.object(Witness, "_may_renew", may_renew)


def without_contact_reset() -> AbstractContextManager:
    """A new witness counts time without contact from before it became a witness."""
    update_watch = Witness._update_watch

    def update_watch_backdated(self, now, member_id):
        update_watch(self, now, member_id)
        watch = self._watch_by_member.get(member_id)
        if watch is not None and watch.last_renewal_at == now:
            watch.last_renewal_at = watch.last_contact_at = now - 60.0

    return patch.object(Witness, "_update_watch", update_watch_backdated)


def without_predecessors() -> AbstractContextManager:
    """A new owner serves a slice that the former owner has not released."""
    return patch.object(Directory, "predecessors_of", lambda self, service, index: ())


def without_send_time() -> AbstractContextManager:
    """The lease counts from when the answer arrives, not from the heartbeat."""
    on_peer_message = MemberLease._on_peer_message

    def on_restamped_answer(self, now, event):
        message = event.message
        if isinstance(message, HeartbeatAnswer):
            message = HeartbeatAnswer(
                now, message.member, message.renewed, message.next_offset
            )
            event = events.PeerMessageReceived(event.sender, message)
        yield from on_peer_message(self, now, event)

    return patch.object(MemberLease, "_on_peer_message", on_restamped_answer)


def without_drift_margin() -> AbstractContextManager:
    """A witness adds no margin for clock drift to the time that a lease lasts."""
    return patch.object(
        Timing,
        "lapse_timeout_s",
        property(lambda self: self.lease_s * (1 - self.drift_bound)),
    )


def without_relabelling() -> AbstractContextManager:
    """Orders of a key with a new slice of its own still count for the old slice."""
    return patch.object(OrderDispatcher, "_relabel", lambda self, service, key: None)


def without_drain_wait() -> AbstractContextManager:
    """A slice is released while orders for it are still running."""
    return patch.object(Ownership, "_has_stopped", lambda self, ref, epoch: True)


@contextmanager
def without_tenure() -> Iterator[None]:
    """A witness that a verdict has ended goes on renewing the leases of others."""
    with patch.object(MemberLease, "has_tenure", lambda self, now: True):
        yield


@contextmanager
def without_ended_witness_delay() -> Iterator[None]:
    """A witness that has ended counts at once as one that renews no lease."""

    def has_stopped_renewing(self, now, witness):
        return witness in self._context.directory.closed_by_id

    with patch.object(Collector, "_has_stopped_renewing", has_stopped_renewing):
        yield


@contextmanager
def without_check_before_order() -> Iterator[None]:
    """The lease is checked when a request arrives, but not again before its order."""
    with patch.object(OrderDispatcher, "_may_run", lambda self, now, request: True):
        yield


@contextmanager
def without_single_steps() -> Iterator[None]:
    """A witness set changes by more than one witness in one record."""

    def next_set(self, now, member):
        directory = self._context.directory
        others = [m for m in directory.member_ring.ranked(member.id) if m != member.id]
        live = tuple(others[:3])
        return live if set(live) != set(member.witnesses) else None

    with ExitStack() as stack:
        stack.enter_context(
            patch.object(Directory, "_check_witness_step", lambda *args: None)
        )
        stack.enter_context(patch.object(WitnessSet, "_next_set", next_set))
        yield


@contextmanager
def without_set_version() -> Iterator[None]:
    """A verdict counts although it names an earlier version of the witness set."""

    def holds_good(self, verdict):
        member = self.member_by_id.get(verdict.member)
        return member is not None and bool(member.witnesses)

    with patch.object(Directory, "_holds_good", holds_good):
        yield


ALL = {
    name: made
    for name, made in sorted(globals().items())
    if name.startswith("without_")
}
