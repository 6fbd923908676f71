"""Requests between two daemons whose connection breaks.

Each request must get one outcome, and a true one: it must never be reported as not run
after it has reached the receiver.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from unittest import mock

import msgspec

from rhubarbhall.adapters import peer_links, peer_sessions
from rhubarbhall.adapters.peer_events import MissingRequests
from rhubarbhall.adapters.peer_frames import Hello, RequestFailed
from rhubarbhall.adapters.peer_links import (
    CHECK_INTERVAL_S,
    LINK_IDLE_TIMEOUT_S,
    RESUME_TIMEOUT_S,
    PeerLinks,
)
from rhubarbhall.adapters.peer_session import Session
from rhubarbhall.adapters.peer_sessions import ORPHAN_TIMEOUT_S, PeerSessions
from rhubarbhall.core.errors import ErrorKind
from rhubarbhall.core.traffic.requests import (
    Answered,
    Load,
    NotRun,
    RoutedRequest,
    Unknown,
)

SENDER, RECEIVER = "10.0.0.1:1", "10.0.0.2:1"


def request(id: str) -> RoutedRequest:
    return RoutedRequest(
        id=id,
        service="pay",
        route="credit",
        key=None,
        method="POST",
        path="/credit/1",
        host="h.example",
        headers=(),
        body=b"",
        caller="",
        idempotent=False,
        priority=0,
        deadline=9.0,
        target_latency_deadline=9.0,
    )


class Wire:
    """One connection: bytes of each direction that have not been delivered yet."""

    def __init__(self):
        self.to_receiver: list[bytes] = []
        self.to_sender: list[bytes] = []
        self.is_open = False
        self.is_accepted = False


class FakeDialer:
    """Stands in for the sender's `_Dialer`."""

    def __init__(self, channel, links):
        self.links = links
        self.unsent_at_close = 0
        self.pending: list[tuple[Wire, object]] = []

    def open(self, address, on_open):
        wire = Wire()
        self.pending.append((wire, on_open))
        return wire

    def send(self, wire, data):
        if wire.is_open:
            wire.to_receiver.append(data)

    def drop(self, wire):
        wire.is_open = False
        self.links.connection_closed(wire, False)


class FakeAcceptor:
    """Stands in for the receiver's `_Acceptor`."""

    def __init__(self, bind, channel, sessions):
        self.sessions = sessions

    def send(self, wire, data):
        if wire.is_open:
            wire.to_sender.append(data)

    has_unsent = False

    def unsent(self, wire):
        return None

    def drop(self, wire):
        wire.to_receiver.clear()
        self.sessions.connection_closed(wire)


class SenderEvents:
    def __init__(self):
        self.outcomes: dict[int, list] = {}
        self.renewed: list[float] = []

    def on_lease_renewed(self, witness, requested_at):
        self.renewed.append(requested_at)

    def on_outcome(self, address, ticket, outcome, load):
        self.outcomes.setdefault(ticket, []).append(outcome)

    def on_contact(self, address):
        pass

    def on_connection_refused(self, address):
        pass

    def on_link_changed(self, address, is_up):
        pass


class ReceiverEvents:
    def __init__(self):
        self.origin_by_id: dict[str, object] = {}
        self.cancelled: list[int] = []
        self.missing: list[MissingRequests] = []

    def local_load(self):
        return Load()

    def on_forward(self, origin, request):
        assert request.id not in self.origin_by_id, "arrived twice"
        self.origin_by_id[request.id] = origin
        return len(self.origin_by_id)

    def on_cancel(self, ticket):
        self.cancelled.append(ticket)

    def on_renewal_request(self, owner):
        return True

    def on_missing_requests(self, address, missing):
        self.missing.append(missing)

    def on_contact(self, address):
        pass


class ResumeCase(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        for module, name, fake in (
            (peer_links, "_Dialer", FakeDialer),
            (peer_sessions, "_Acceptor", FakeAcceptor),
        ):
            patch = mock.patch.object(module, name, fake)
            patch.start()
            self.addCleanup(patch.stop)
        self.sender, self.receiver = SenderEvents(), ReceiverEvents()
        self.links = PeerLinks(SENDER, "own", self.sender, lambda: self.now, 77)
        self.restart_receiver()
        self.links.set_members("r", {RECEIVER: "r"})
        self.links.keep({RECEIVER})
        self.links.check()
        self.connect()

    def restart_receiver(self):
        self.sessions = PeerSessions(RECEIVER, self.receiver, lambda: self.now)

    def connect(self):
        self.wire, on_open = self.links.dialer.pending.pop()
        self.wire.is_open = True
        self.sessions.connection_accepted(self.wire)
        on_open()

    def deliver(self):
        """Deliver all bytes, until none are waiting."""
        while self.wire.to_receiver or self.wire.to_sender:
            for data in self.take_all(self.wire.to_receiver):
                self.sessions.receive(self.wire, data)
            for data in self.take_all(self.wire.to_sender):
                self.links.receive(self.wire, data)

    @staticmethod
    def take_all(waiting: list[bytes]) -> list[bytes]:
        data = list(waiting)
        waiting.clear()
        return data

    def cut(self, seen_by_receiver: bool = True):
        """Reset the connection; bytes that have not been delivered are lost."""
        wire = self.wire
        wire.is_open = False
        if seen_by_receiver:
            self.sessions.connection_closed(wire)
        self.links.connection_closed(wire, False)

    def forward(self, ticket: int):
        return self.links.forward(self.now, RECEIVER, ticket, request(f"q{ticket}"))

    def answer(self, ticket: int):
        origin = self.receiver.origin_by_id[f"q{ticket}"]
        body = f"a{ticket}".encode()
        self.sessions.answer(origin, Answered(200, (), body), Load())

    def pass_time(self, seconds: float):
        end = self.now + seconds
        while self.now < end:
            self.now += CHECK_INTERVAL_S
            self.links.check()
            self.sessions.cancel_orphans()

    def outcomes(self, ticket: int) -> list:
        return self.sender.outcomes.get(ticket, [])


class OpensSoonTests(ResumeCase):
    """Requests for a peer whose connection was just reset."""

    def test_a_connection_that_was_just_reset_opens_soon(self):
        self.assertFalse(self.links.opens_soon(self.now, RECEIVER))
        self.cut()
        self.assertTrue(self.links.opens_soon(self.now, RECEIVER))
        self.connect()
        self.assertFalse(self.links.opens_soon(self.now, RECEIVER))
        self.assertTrue(self.forward(1))

    def test_it_does_not_once_no_process_listens_there(self):
        self.cut()
        wire, _ = self.links.dialer.pending.pop()
        self.links.connection_closed(wire, True)
        self.assertFalse(self.links.opens_soon(self.now, RECEIVER))

    def test_it_does_not_when_the_peer_stays_silent(self):
        self.cut()
        self.pass_time(RESUME_TIMEOUT_S + CHECK_INTERVAL_S)
        self.assertFalse(self.links.opens_soon(self.now, RECEIVER))


class OnDemandTests(ResumeCase):
    """Links with peers that are not watched."""

    def setUp(self):
        super().setUp()
        self.links.keep(set())

    def test_an_idle_link_is_closed_and_opened_again_for_a_request(self):
        self.pass_time(LINK_IDLE_TIMEOUT_S + CHECK_INTERVAL_S)
        self.assertFalse(self.wire.is_open)
        self.assertTrue(self.links.opens_soon(self.now, RECEIVER))
        self.connect()
        self.assertTrue(self.forward(1))
        self.deliver()
        self.answer(1)
        self.deliver()
        self.assertEqual(self.outcomes(1), [Answered(200, (), b"a1")])

    def test_a_peer_with_a_request_under_way_is_awaited(self):
        self.forward(1)
        self.assertEqual(self.links.awaited_peers(), [RECEIVER])
        self.deliver()
        self.answer(1)
        self.deliver()
        self.assertEqual(self.links.awaited_peers(), [])

    def test_an_idle_link_is_not_pinged_and_its_silence_means_nothing(self):
        self.deliver()
        self.pass_time(5.0)
        self.assertEqual(self.wire.to_receiver, [])
        self.assertEqual(self.links.awaited_peers(), [])


# Only connections that were open at the time of the notice carried it, so daemons that
# connected later sent requests until the stopping one exited, and lost them.
class ShutdownNoticeTests(ResumeCase):
    def test_a_peer_that_connects_during_a_shutdown_sends_no_requests(self):
        self.sessions.announce_shutdown()
        self.deliver()
        self.cut()
        self.links.check()
        self.connect()
        self.deliver()
        self.assertFalse(self.forward(1))

    def test_a_session_is_resumed_during_a_shutdown(self):
        self.forward(1)
        self.deliver()
        self.sessions.announce_shutdown()
        self.cut()
        self.links.check()
        self.connect()
        self.answer(1)
        self.deliver()
        self.assertEqual(self.outcomes(1), [Answered(200, (), b"a1")])

    def test_a_peer_that_connects_after_the_restart_sends_requests(self):
        self.sessions.announce_shutdown()
        self.deliver()
        self.cut()
        self.restart_receiver()
        self.links.check()
        self.connect()
        self.deliver()
        self.assertTrue(self.forward(1))


# A daemon exited while outcomes for its peers were still to be sent, and requests that
# had ended were reported as possibly run.
class UndeliveredTests(ResumeCase):
    def test_outcomes_that_a_connection_does_not_accept_yet_are_undelivered(self):
        self.assertFalse(self.sessions.has_undelivered)
        self.sessions.acceptor.has_unsent = True
        self.assertTrue(self.sessions.has_undelivered)

    def test_an_outcome_without_a_connection_is_undelivered_until_it_is_sent(self):
        self.forward(1)
        self.deliver()
        self.cut()
        self.answer(1)
        self.assertTrue(self.sessions.has_undelivered)
        self.links.check()
        self.connect()
        self.deliver()
        self.assertFalse(self.sessions.has_undelivered)
        self.assertEqual(self.outcomes(1), [Answered(200, (), b"a1")])

    def test_an_outcome_that_no_peer_comes_back_for_does_not_count_for_ever(self):
        self.forward(1)
        self.deliver()
        self.cut()
        self.answer(1)
        self.pass_time(ORPHAN_TIMEOUT_S + 0.2)
        self.assertFalse(self.sessions.has_undelivered)

    def test_a_request_received_in_part_is_undelivered(self):
        large = replace(request("q1"), body=random.Random(1).randbytes(50_000))
        self.links.forward(self.now, RECEIVER, 1, large)
        data = b"".join(self.take_all(self.wire.to_receiver))
        self.sessions.receive(self.wire, data[:30_000])
        self.assertTrue(self.sessions.has_undelivered)
        self.sessions.receive(self.wire, data[30_000:])
        self.assertFalse(self.sessions.has_undelivered)


class ResumeTests(ResumeCase):
    def test_a_request_continues_over_the_next_connection(self):
        self.forward(1)
        self.deliver()
        self.cut()
        self.connect()
        self.deliver()
        self.answer(1)
        self.deliver()
        self.assertEqual(self.outcomes(1), [Answered(200, (), b"a1")])
        self.assertEqual(self.receiver.cancelled, [])

    def test_an_outcome_without_a_connection_is_sent_over_the_next(self):
        self.forward(1)
        self.deliver()
        self.cut()
        self.answer(1)
        self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(1), [Answered(200, (), b"a1")])

    def test_a_request_that_never_arrived_is_reported_as_not_run(self):
        self.forward(1)
        self.deliver()
        self.forward(2)
        self.cut()
        self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(2), [NotRun(ErrorKind.OWNER_UNREACHABLE)])
        self.assertEqual(self.outcomes(1), [])

    def test_an_outcome_lost_with_its_connection_is_unknown(self):
        self.forward(1)
        self.deliver()
        self.answer(1)
        self.cut()
        self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(1), [Unknown(ErrorKind.ANSWER_LOST)])

    def test_outcomes_are_unknown_after_the_receiver_restarts(self):
        self.forward(1)
        self.cut()
        self.restart_receiver()
        self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(1), [Unknown(ErrorKind.ANSWER_LOST)])

    def test_a_connection_that_only_the_sender_closed_is_not_read(self):
        self.forward(1)
        self.deliver()
        self.forward(2)
        undelivered = list(self.wire.to_receiver)
        old_wire = self.wire
        self.cut(seen_by_receiver=False)
        self.connect()
        self.deliver()
        for data in undelivered:
            self.sessions.receive(old_wire, data)
        self.assertEqual(self.outcomes(2), [NotRun(ErrorKind.OWNER_UNREACHABLE)])
        self.assertNotIn("q2", self.receiver.origin_by_id)

    def test_without_a_new_connection_both_sides_abandon_the_request(self):
        self.forward(1)
        self.deliver()
        self.cut()
        self.pass_time(RESUME_TIMEOUT_S + CHECK_INTERVAL_S)
        self.assertEqual(self.outcomes(1), [Unknown(ErrorKind.ANSWER_LOST)])
        self.pass_time(ORPHAN_TIMEOUT_S)
        self.assertEqual(self.receiver.cancelled, [1])

    def test_a_request_cancelled_without_a_connection_is_cancelled_on_resume(self):
        for ticket in (1, 2):
            self.forward(ticket)
        self.deliver()
        self.cut()
        self.links.cancel(RECEIVER, 1)
        self.connect()
        self.deliver()
        self.assertEqual(self.receiver.cancelled, [1])
        self.answer(2)
        self.deliver()
        self.assertEqual(self.outcomes(1), [])
        self.assertEqual(self.outcomes(2), [Answered(200, (), b"a2")])

    def test_a_late_answer_is_not_taken_for_that_of_a_later_request(self):
        self.forward(1)
        self.deliver()
        self.cut()
        self.links.set_members("r", {})
        self.links.set_members("r", {RECEIVER: "r"})
        self.links.keep({RECEIVER})
        self.links.check()
        self.connect()
        self.forward(2)
        self.deliver()
        self.answer(1)
        self.deliver()
        self.assertEqual(self.outcomes(2), [])


class LostSessionTests(ResumeCase):
    """Requests that were sent in another session than the one that continues.

    Guards against: a request that has run, at an earlier process or in a session that
    was forgotten, and is reported as not run, so that it runs again elsewhere.
    """

    def setUp(self):
        super().setUp()
        self.forward(1)
        self.deliver()

    def assert_unknown(self, ticket: int) -> None:
        self.deliver()
        self.assertEqual(self.outcomes(ticket), [Unknown(ErrorKind.ANSWER_LOST)])

    def lose_answers(self) -> None:
        """Let the receiver read all that was sent, and break before it is answered."""
        for data in self.take_all(self.wire.to_receiver):
            self.sessions.receive(self.wire, data)
        self.cut()

    def test_an_answer_to_a_resume_that_is_lost_after_a_restart(self):
        self.cut()
        self.restart_receiver()
        self.connect()
        self.lose_answers()
        self.connect()
        self.assert_unknown(1)

    def test_a_hello_without_the_resume_that_follows_it(self):
        self.cut()
        self.restart_receiver()
        self.connect()
        hello = self.wire.to_receiver.pop(0)
        self.sessions.receive(self.wire, hello)
        self.cut()
        self.connect()
        self.assert_unknown(1)

    def test_a_session_that_was_forgotten_and_begun_anew(self):
        # The receiver sees the connection break before the sender does.
        self.sessions.connection_closed(self.wire)
        self.now += ORPHAN_TIMEOUT_S + CHECK_INTERVAL_S
        self.sessions.cancel_orphans()
        self.links.connection_closed(self.wire, False)
        self.connect()
        self.lose_answers()
        self.connect()
        self.assert_unknown(1)
        self.assertEqual(self.receiver.cancelled, [1])

    def test_two_restarts_and_lost_answers(self):
        for _ in range(2):
            self.cut()
            self.restart_receiver()
            self.connect()
            self.lose_answers()
            self.connect()
            self.lose_answers()
            self.connect()
        self.assert_unknown(1)

    def test_a_withdrawn_request_is_unknown_too(self):
        self.links.withdraw(RECEIVER, 1)
        self.cut()
        self.restart_receiver()
        self.connect()
        self.lose_answers()
        self.connect()
        self.assert_unknown(1)

    def test_a_request_of_the_new_session_that_never_arrived_has_not_run(self):
        self.cut()
        self.restart_receiver()
        self.connect()
        self.deliver()
        self.forward(2)
        self.cut()
        self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(2), [NotRun(ErrorKind.OWNER_UNREACHABLE)])
        reports = [MissingRequests((), (1,)), MissingRequests((2,), ())]
        self.assertEqual(self.receiver.missing, reports)


class GivenUpConnectionTests(ResumeCase):
    """Bytes of a connection that its peer gave up, read after those of the next one.

    Guards against: a request that is begun after its sender was told that it never
    arrived, and that by then runs elsewhere.
    """

    def setUp(self):
        super().setUp()
        self.deliver()
        # The receiver has not read anything of this connection.
        self.cut()
        wire, on_open = self.links.dialer.pending.pop()
        wire.is_open = True
        self.given_up = wire
        on_open()
        self.wire = wire
        self.forward(1)
        self.sent = self.take_all(wire.to_receiver)
        self.links.connection_closed(wire, False)
        self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(1), [NotRun(ErrorKind.OWNER_UNREACHABLE)])

    def read_given_up(self) -> None:
        self.sessions.connection_accepted(self.given_up)
        for data in self.sent:
            self.sessions.receive(self.given_up, data)

    def test_it_is_not_read_beside_the_next_one(self):
        self.read_given_up()
        self.assertEqual(self.receiver.origin_by_id, {})
        self.assertTrue(self.forward(2))
        self.deliver()
        self.assertEqual(list(self.receiver.origin_by_id), ["q2"])

    def test_it_is_not_read_after_the_session_was_forgotten(self):
        self.cut()
        self.pass_time(ORPHAN_TIMEOUT_S + CHECK_INTERVAL_S)
        self.read_given_up()
        self.assertEqual(self.receiver.origin_by_id, {})


class EarlierHello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """The `Hello` of daemons that do not number their connections."""

    address: str
    service: str
    session: int


class EarlierBuildTests(ResumeCase):
    """Daemons of two versions beside each other, as in an upgrade."""

    def greet_as_earlier_build(self):
        def hello(*fields):
            return EarlierHello(*fields[:3])

        patch = mock.patch.object(peer_links, "Hello", hello)
        patch.start()
        self.addCleanup(patch.stop)
        self.cut()
        self.connect()
        self.deliver()

    def test_an_earlier_build_reads_the_present_hello(self):
        hello = Hello(SENDER, "own", 77, 4, 12)
        known = msgspec.msgpack.decode(msgspec.msgpack.encode(hello), type=EarlierHello)
        self.assertEqual(known, EarlierHello(SENDER, "own", 77))

    def test_requests_of_an_earlier_build_are_answered_and_resumed(self):
        self.greet_as_earlier_build()
        self.forward(1)
        self.deliver()
        self.cut()
        self.connect()
        self.answer(1)
        self.deliver()
        self.assertEqual(self.outcomes(1), [Answered(200, (), b"a1")])

    def receive_as_earlier_build(self):
        """Let the receiver report all unknown requests as not run, as it once did."""
        for patch in (
            mock.patch.object(Session, "never_received", lambda session, number: True),
            mock.patch.object(
                msgspec.structs, "replace", lambda frame, **fields: frame
            ),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def test_what_a_receiver_of_an_earlier_build_reports_first_is_believed(self):
        self.receive_as_earlier_build()
        self.forward(1)
        self.cut()
        self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(1), [NotRun(ErrorKind.OWNER_UNREACHABLE)])

    # Its session may have begun with the first of the two.
    def test_what_it_reports_after_a_second_resume_is_not_believed(self):
        self.receive_as_earlier_build()
        self.forward(1)
        for _ in range(2):
            self.cut()
            self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(1), [Unknown(ErrorKind.ANSWER_LOST)])

    def test_what_a_receiver_of_this_build_reports_then_is_believed(self):
        self.deliver()
        self.forward(1)
        for _ in range(2):
            self.cut()
            self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(1), [NotRun(ErrorKind.OWNER_UNREACHABLE)])

    # Such a sender does not say which requests it sent before the session began.
    def test_a_request_of_an_earlier_build_is_never_reported_as_not_run(self):
        self.greet_as_earlier_build()
        self.forward(1)
        self.cut()
        self.connect()
        self.deliver()
        self.assertEqual(self.outcomes(1), [Unknown(ErrorKind.ANSWER_LOST)])


class WithdrawalTests(ResumeCase):
    """Requests that their sender withdraws before the deadline.

    Guards against: a caller that is told that its request may have run although no
    target has received it, and the reverse.
    """

    def setUp(self):
        super().setUp()
        self.receiver.on_withdraw = self.refuse_waiting
        self.begun: set[int] = set()
        self.refused: set[int] = set()

    def refuse_waiting(self, receiver_ticket: int) -> None:
        """Do as an admission queue does."""
        id = list(self.receiver.origin_by_id)[receiver_ticket - 1]
        ticket = int(id[1:])
        if ticket not in self.begun:
            self.refused.add(ticket)
            not_run = NotRun(ErrorKind.DEADLINE_UNREACHABLE)
            self.sessions.answer(self.receiver.origin_by_id[id], not_run, Load())

    def kinds(self, ticket: int) -> list:
        return [(type(each), each.kind) for each in self.outcomes(ticket)]

    def test_a_waiting_request_is_reported_as_not_run_and_a_running_one_goes_on(self):
        for ticket in (1, 2):
            self.forward(ticket)
        self.deliver()
        self.begun.add(2)
        for ticket in (1, 2):
            self.links.withdraw(RECEIVER, ticket)
        self.deliver()
        self.assertEqual(self.kinds(1), [(NotRun, ErrorKind.DEADLINE_UNREACHABLE)])
        self.assertEqual((self.outcomes(2), self.receiver.cancelled), ([], []))
        self.answer(2)
        self.deliver()
        self.assertEqual(self.outcomes(2), [Answered(200, (), b"a2")])

    def test_a_request_that_arrives_with_its_withdrawal_is_not_begun(self):
        # Load pattern: the receiver's process is slow, and bytes wait in its socket.
        self.forward(1)
        self.links.withdraw(RECEIVER, 1)
        self.forward(2)
        self.links.cancel(RECEIVER, 2)
        self.sessions.receive(self.wire, b"".join(self.take_all(self.wire.to_receiver)))
        self.deliver()
        self.assertEqual(self.receiver.origin_by_id, {})
        self.assertEqual(self.kinds(1), [(NotRun, ErrorKind.DEADLINE_UNREACHABLE)])
        self.assertEqual(self.outcomes(2), [])

    def test_a_request_withdrawn_without_a_connection_is_withdrawn_over_the_next(self):
        for ticket in (1, 2):
            self.forward(ticket)
            if ticket == 1:
                self.deliver()
        self.cut()
        for ticket in (1, 2):
            self.links.withdraw(RECEIVER, ticket)
        self.connect()
        self.deliver()
        self.assertEqual(self.kinds(1), [(NotRun, ErrorKind.DEADLINE_UNREACHABLE)])
        self.assertEqual(self.kinds(2), [(NotRun, ErrorKind.OWNER_UNREACHABLE)])

    def test_a_request_of_which_no_byte_was_sent_has_not_run(self):
        # That of ticket 2 was sent in part, and the receiver may have all its data.
        sizes = []
        for ticket in (1, 2, 3):
            self.forward(ticket)
            sizes = [len(data) for data in self.wire.to_receiver]
        self.links.dialer.unsent_at_close = sizes[-1] + sizes[-2] - 1
        self.cut()
        self.links.dialer.unsent_at_close = 0
        self.assertEqual(self.kinds(3), [(NotRun, ErrorKind.OWNER_UNREACHABLE)])
        self.assertEqual(self.outcomes(2) + self.outcomes(1), [])
        self.pass_time(RESUME_TIMEOUT_S + CHECK_INTERVAL_S)
        self.assertEqual(self.kinds(2), [(Unknown, ErrorKind.ANSWER_LOST)])

    def test_requests_of_an_earlier_connection_are_not_judged_by_the_next(self):
        self.forward(1)
        self.deliver()
        self.cut()
        self.connect()
        self.links.dialer.unsent_at_close = 10**6
        self.cut()
        self.assertEqual(self.outcomes(1), [])

    def test_outcomes_are_true_while_connections_are_cut_at_random(self):
        for seed in range(150):
            with self.subTest(seed=seed):
                self.setUp()
                self.run_random_steps(random.Random(seed))

    def run_random_steps(self, rng: random.Random) -> None:
        ticket = 0
        for _ in range(60):
            step = rng.random()
            if step < 0.35:
                ticket += self.forward(ticket + 1)
            elif step < 0.5:
                self.deliver()
            elif step < 0.6:
                arrived = {int(id[1:]) for id in self.receiver.origin_by_id}
                waiting = sorted(arrived - self.refused)
                self.begun |= {each for each in waiting if rng.random() < 0.4}
            elif step < 0.85 and ticket:
                self.links.withdraw(RECEIVER, rng.randint(1, ticket))
            elif step >= 0.85:
                self.cut(seen_by_receiver=rng.random() < 0.7)
                self.connect()
        self.deliver()
        for each in range(1, ticket + 1):
            if each in self.begun:
                self.answer(each)
            else:
                self.links.withdraw(RECEIVER, each)
        self.deliver()
        for each in range(1, ticket + 1):
            self.assertEqual(len(self.outcomes(each)), 1)
            if isinstance(self.outcomes(each)[0], NotRun):
                self.assertNotIn(each, self.begun)


class InvalidFrameTests(ResumeCase):
    def test_an_invalid_frame_is_not_an_outcome(self):
        self.forward(1)
        self.deliver()
        writer = self.receiver.origin_by_id["q1"].session.writer
        invalid = RequestFailed(1, "nonsense", True, 0, 0, 0, 1)
        self.wire.to_sender.append(writer.encode(invalid))
        self.deliver()
        self.assertEqual((self.links.rejected, self.outcomes(1)), (1, []))
        self.pass_time(RESUME_TIMEOUT_S + CHECK_INTERVAL_S)
        self.assertEqual(self.outcomes(1), [Unknown(ErrorKind.ANSWER_LOST)])


class RenewalTests(ResumeCase):
    def test_a_renewal_counts_after_the_next_one_was_requested(self):
        # A slow VM requests renewal ten times a second while it has no lease, so an
        # answer can take longer than the time until the next request.
        for _ in range(3):
            self.links.request_renewal(RECEIVER)
            self.now += CHECK_INTERVAL_S
        self.deliver()
        self.assertEqual(
            self.sender.renewed, [0.0, CHECK_INTERVAL_S, 2 * CHECK_INTERVAL_S]
        )

    def test_a_renewal_counts_once(self):
        self.links.request_renewal(RECEIVER)
        self.deliver()
        self.deliver()
        self.assertEqual(self.sender.renewed, [0.0])


class RandomRestartsTests(ResumeCase):
    """Restarts, forgotten sessions and connections that are read late, at random."""

    def test_no_request_runs_that_was_reported_as_not_run(self):
        for seed in range(300):
            with self.subTest(seed=seed):
                self.setUp()
                self.begun: set[str] = set()
                self.given_up: list[Wire] = []
                self.run_random_steps(random.Random(seed))

    def run_random_steps(self, rng: random.Random) -> None:
        ticket = 0
        for _ in range(60):
            step = rng.random()
            if step < 0.3:
                ticket += self.forward(ticket + 1)
            elif step < 0.45:
                self.deliver()
            elif step < 0.55:
                self.break_connection(rng)
            elif step < 0.65 and self.given_up:
                self.read_late(self.given_up.pop(rng.randrange(len(self.given_up))))
            elif step < 0.7:
                self.now += ORPHAN_TIMEOUT_S * rng.uniform(0.2, 1.5)
                self.sessions.cancel_orphans()
            elif step < 0.75:
                self.restart_receiver()
                self.given_up.clear()
                self.cut(seen_by_receiver=False)
                self.connect()
            self.check_outcomes(ticket)
        for wire in self.given_up:
            self.read_late(wire)
        self.deliver()
        self.check_outcomes(ticket)

    def break_connection(self, rng: random.Random) -> None:
        """Break it after a part of what was sent has been read, or read it later."""
        wire = self.wire
        read = rng.randint(0, len(wire.to_receiver)) if wire.is_accepted else 0
        for _ in range(read):
            self.sessions.receive(wire, wire.to_receiver.pop(0))
        is_seen = rng.random() < 0.5
        self.cut(seen_by_receiver=is_seen)
        if not is_seen:
            self.given_up.append(wire)
        self.connect(is_accepted=rng.random() < 0.7)

    def connect(self, is_accepted: bool = True) -> None:
        wire, on_open = self.links.dialer.pending.pop()
        wire.is_open = True
        self.wire = wire
        if is_accepted:
            self.accept(wire)
        on_open()

    def accept(self, wire: Wire) -> None:
        if not wire.is_accepted:
            wire.is_accepted = True
            self.sessions.connection_accepted(wire)

    def deliver(self) -> None:
        self.accept(self.wire)
        super().deliver()

    def read_late(self, wire: Wire) -> None:
        self.accept(wire)
        for data in self.take_all(wire.to_receiver):
            self.sessions.receive(wire, data)

    def check_outcomes(self, last_ticket: int) -> None:
        for ticket in range(1, last_ticket + 1):
            self.assertLessEqual(len(self.outcomes(ticket)), 1)
            if any(isinstance(each, NotRun) for each in self.outcomes(ticket)):
                self.assertNotIn(f"q{ticket}", self.receiver.origin_by_id)


class RandomCutsTests(ResumeCase):
    """Connections cut at random: each request gets one outcome, and a true one."""

    def test_outcomes_are_true(self):
        for seed in range(150):
            with self.subTest(seed=seed):
                self.setUp()
                self.run_random_steps(random.Random(seed))

    def run_random_steps(self, rng: random.Random) -> None:
        answered: set[int] = set()
        ticket = 0
        for _ in range(60):
            step = rng.random()
            if step < 0.4 and self.wire.is_open:
                ticket += 1
                self.forward(ticket)
            elif step < 0.6:
                self.deliver()
            elif step < 0.8:
                arrived = {int(id[1:]) for id in self.receiver.origin_by_id}
                for each in sorted(arrived - answered):
                    answered.add(each)
                    self.answer(each)
            elif self.wire.is_open:
                self.cut(seen_by_receiver=rng.random() < 0.7)
                self.connect()
        self.deliver()
        for each in range(1, ticket + 1):
            if f"q{each}" in self.receiver.origin_by_id and each not in answered:
                self.answer(each)
        self.deliver()
        for each in range(1, ticket + 1):
            self.assertEqual(len(self.outcomes(each)), 1)
            outcome = self.outcomes(each)[0]
            if isinstance(outcome, Answered):
                self.assertEqual(outcome.body, f"a{each}".encode())
            elif isinstance(outcome, NotRun):
                self.assertNotIn(f"q{each}", self.receiver.origin_by_id)
