"""The kernel: parts register themselves and events are stepped through them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Protocol, TypeAlias

from rhubarbhall.core.commands import Command
from rhubarbhall.core.events import Event

if TYPE_CHECKING:
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.types import Seconds

#: Takes the time and an event; yields commands and further events.
Handler: TypeAlias = "Callable[[Seconds, Event], Iterator[Command | Event]]"


class Part(Protocol):
    """A part of the core that handles some types of events."""

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event."""


class Kernel:
    """Steps events through the registered parts.

    Parameters
    ----------
    timers : TimerService
        Timers of all parts.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._handlers_by_event: dict[type[Event], list[Handler]] = {}

    def register(self, part: Part) -> None:
        """Add `part`; parts see an event in the order of registration."""
        for kind, handler in part.handlers().items():
            self._handlers_by_event.setdefault(kind, []).append(handler)

    def step(self, now: Seconds, event: Event) -> Iterator[Command]:
        """Handle `event` and every event that follows from it.

        Commands come out in the order in which they were decided. The
        iterator must be used up.
        """
        waiting = deque([event])
        while waiting:
            current = waiting.popleft()
            for handler in self._handlers_by_event.get(type(current), ()):
                for made in handler(now, current):
                    if isinstance(made, Event):
                        waiting.append(made)
                    else:
                        yield made

    def step_timers(self, now: Seconds) -> Iterator[Command]:
        """Handle the timers that are due at `now`."""
        for event in self._timers.due(now):
            yield from self.step(now, event)
