"""Reads the content of the platform's store for operators, without a router."""

from __future__ import annotations

import time
from collections.abc import Callable

from rhubarbhall.adapters.client import SWEEP_INTERVAL_S, HttpClient
from rhubarbhall.adapters.clock import TimerRunner
from rhubarbhall.adapters.loop import Loop
from rhubarbhall.core.ownership.directory import KeyDirectory
from rhubarbhall.core.ownership.entries import Entry
from rhubarbhall.core.ownership.key_table import KeyTable
from rhubarbhall.core.ownership.publisher import directory_topic
from rhubarbhall.core.ownership.store_port import NewestPage, ReadResult, Unavailable
from rhubarbhall.core.timers import TimerCallback, TimerService
from rhubarbhall.core.traffic.routes import RoutingTable
from rhubarbhall.platform.names import CONFIGURATION_KEY, OPERATOR_TOPIC
from rhubarbhall.platform.operator import parse_configuration
from rhubarbhall.platform.store import LogStore
from rhubarbhall.programs.mesh_client import MeshError
from rhubarbhall.types import Address, Seconds, StoreEpoch

#: Limit on the time to read all pages of a topic, in seconds.
READ_TIMEOUT_S = 10.0
_CONNECTIONS = 1


class StoreView:
    """Reads topics of the platform's store with the client that routers use.

    Parameters
    ----------
    store : str
        Address of the store.
    """

    def __init__(self, store: Address) -> None:
        self._address = store
        #: Epoch of the store, as far as its answers have shown.
        self._epoch: StoreEpoch = 0

    def read_newest(self, topic: str) -> list[Entry]:
        """Return the newest record of each key of a topic.

        Raises
        ------
        MeshError
            If the store is unavailable or does not answer within `READ_TIMEOUT_S`.
        """
        return self._read(lambda epoch: topic)

    def _read(self, topic_in: Callable[[StoreEpoch], str]) -> list[Entry]:
        """Read the topic of the present epoch, which the first answer tells."""
        while True:
            epoch = self._epoch
            read = self._read_in_epoch(topic_in(epoch))
            if epoch == self._epoch:
                break
        if read.failure is not None:
            topic = topic_in(epoch)
            raise MeshError(f"{self._address}: {topic}: {read.failure}")
        return read.entries

    def _read_in_epoch(self, topic: str) -> _TopicRead:
        loop = Loop()
        client = HttpClient("store-view", _CONNECTIONS)
        timers = TimerService()
        timers.advance_to(time.monotonic())
        store = LogStore(client, client, self._address, on_epoch=self._set_epoch)
        store.begin_epoch(self._epoch)
        read = _TopicRead(store, topic, loop.stop)
        loop.add(client)
        loop.add(TimerRunner(timers, lambda: _fire_due_timers(timers)))
        timers.every(SWEEP_INTERVAL_S, TimerCallback(lambda now: client.sweep()))
        timers.at(timers.now(), TimerCallback(lambda now: read.next_page(None)))
        timers.at(timers.now() + READ_TIMEOUT_S, TimerCallback(read.abandon))
        loop.run()
        client.close()
        return read

    def _set_epoch(self, epoch: StoreEpoch) -> None:
        self._epoch = epoch

    def directory(self) -> KeyDirectory:
        """Return a directory of the members and key tables in the store.

        Raises
        ------
        MeshError
            If the store cannot be read; see `read_newest`.
        """
        directory = KeyDirectory()
        for entry in self._read(directory_topic):
            directory.apply(entry)
        return directory

    def routing(self) -> RoutingTable | None:
        """Return the operators' configuration, if there is one.

        Raises
        ------
        MeshError
            If the store cannot be read, or the configuration in it is invalid.
        """
        for entry in self.read_newest(OPERATOR_TOPIC):
            if entry.key == CONFIGURATION_KEY and entry.value:
                try:
                    return parse_configuration(entry.value)
                except ValueError as error:
                    raise MeshError(f"{OPERATOR_TOPIC}: {error}") from error
        return None


class _TopicRead:
    """Reads all pages of one topic, one after the other."""

    def __init__(
        self, store: LogStore, topic: str, on_done: Callable[[], None]
    ) -> None:
        self._store = store
        self._topic = topic
        self._on_done = on_done
        self.entries: list[Entry] = []
        self.failure: str | None = None

    def next_page(self, after: str | None) -> None:
        self._store.read_newest(self._topic, after, self._on_page)

    def _on_page(self, result: ReadResult) -> None:
        if isinstance(result, NewestPage):
            self.entries += result.entries
            if result.after is not None:
                self.next_page(result.after)
                return
        else:
            is_unavailable = isinstance(result, Unavailable)
            self.failure = result.reason if is_unavailable else repr(result)
        self._on_done()

    def abandon(self, now: Seconds) -> None:
        self.failure = f"no answer within {READ_TIMEOUT_S:g} s"
        self._on_done()


def _fire_due_timers(timers: TimerService) -> None:
    now = time.monotonic()
    for event in list(timers.due(now)):
        event.fire(now)


def member_rows(directory: KeyDirectory) -> list[tuple[object, ...]]:
    """Return a row for each router.

    The columns are address, service, region, domain, run and state of the target.
    """
    return [
        (address, each.service, each.region, each.domain, each.run, each.state)
        for address, each in sorted(directory.member_by_address.items())
    ]


def target_regions(directory: KeyDirectory) -> dict[str, frozenset[str]]:
    """Return the regions of the targets of each service."""
    regions: dict[str, set[str]] = {}
    for each in directory.member_by_address.values():
        regions.setdefault(each.service, set()).add(each.region)
    return {service: frozenset(found) for service, found in regions.items()}


def owner_rows(service: str, table: KeyTable) -> list[tuple[object, ...]]:
    """Return a row for each range of keys.

    The columns are service, range, owner, fence, the previous owner that has to release
    the range, and whether that owner was lost.
    """
    return [
        (
            service,
            f"{span.first}-{span.last}",
            span.owner,
            span.fence,
            span.previous or "-",
            "lost" if span.previous_lost else "-",
        )
        for span in table.spans
    ]
