"""The priority queue of the requests that wait for a slot."""

from __future__ import annotations

import unittest
from dataclasses import replace

from rhubarbhall.core.traffic.queue_entries import QueueEntry, Urgency
from rhubarbhall.core.traffic.waiting_requests import WaitingRequests
from tests.core.traffic.test_admission_queue import REQUEST


def entry(ticket: int, urgency: Urgency = Urgency.IN_TIME, **changes) -> QueueEntry:
    request = replace(REQUEST, id=str(ticket), **changes)
    return QueueEntry(ticket, request, 0.0, lambda outcome: None, urgency)


class WaitingRequestsTests(unittest.TestCase):
    def setUp(self):
        self.late = entry(1, Urgency.LATE)
        self.early = entry(2, target_latency_deadline=0.2)
        self.retried = entry(3, Urgency.RETRIED)
        self.urgent = entry(4, Urgency.LATE, priority=0)
        self.waiting = WaitingRequests()
        self.all = (self.late, self.early, self.retried, self.urgent)
        for each in self.all:
            self.waiting.push(each)

    def popped(self) -> list[int]:
        tickets = []
        while (each := self.waiting.pop()) is not None:
            tickets.append(each.ticket)
        return tickets

    def test_priority_counts_first_then_urgency(self):
        order = [each.ticket for each in self.waiting.in_order()]
        self.assertEqual(order, [4, 2, 3, 1])
        self.assertEqual(self.popped(), order)
        self.assertEqual(len(self.waiting), 0)

    def test_a_removed_request_is_not_popped(self):
        self.waiting.remove(self.early)
        self.waiting.remove(self.early)
        self.assertNotIn(self.early, self.waiting)
        self.assertEqual(len(self.waiting), 3)
        self.assertEqual(self.popped(), [4, 3, 1])

    def test_a_request_is_pushed_again_with_another_urgency(self):
        self.waiting.remove(self.early)
        self.early.urgency = Urgency.LATE
        self.waiting.push(self.early)
        self.assertEqual(self.popped(), [4, 3, 1, 2])

    def test_those_ahead_of_a_request(self):
        ahead = self.waiting.ahead_of(REQUEST, Urgency.RETRIED)
        self.assertEqual({each.ticket for each in ahead}, {2, 3, 4})
        ahead = self.waiting.ahead_of(REQUEST, Urgency.IN_TIME)
        self.assertEqual({each.ticket for each in ahead}, {2, 4})
