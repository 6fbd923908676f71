"""The kernel: hands events to the parts of the core that handle them.

It does no input or output and reads no clock; commands are returned to the caller.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Protocol, TypeAlias

from rhubarbhall.core.commands import Command
from rhubarbhall.core.events import Event

if TYPE_CHECKING:
    from rhubarbhall.core.timers import TimerService
    from rhubarbhall.types import Seconds

#: Takes the present time, in seconds, and an event; yields commands and further events.
Handler: TypeAlias = "Callable[[Seconds, Event], Iterator[Command | Event]]"


class Part(Protocol):
    """A part of the core that handles some types of events."""

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handler for each type of event that this part handles."""


class Kernel:
    """Hands events to the registered parts and collects their commands.

    Parameters
    ----------
    timers : TimerService
        Service that runs the timers of all parts.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._handlers_by_event: dict[type[Event], list[Handler]] = {}

    def register(self, part: Part) -> None:
        """Add a part; parts handle an event in the order of their registration."""
        for event_type, handler in part.handlers().items():
            self._handlers_by_event.setdefault(event_type, []).append(handler)

    def step(self, now: Seconds, event: Event) -> Iterator[Command]:
        """Handle `event` and every event that the parts yield in turn.

        Commands are yielded in the order in which the parts yield them. The caller
        must exhaust the iterator, as the remaining events are not handled otherwise.
        """
        waiting = deque([event])
        while waiting:
            current = waiting.popleft()
            for handler in self._handlers_by_event.get(type(current), ()):
                for output in handler(now, current):
                    if isinstance(output, Event):
                        waiting.append(output)
                    else:
                        yield output

    def step_timers(self, now: Seconds) -> Iterator[Command]:
        """Handle the events of the timers that are due at `now`."""
        for event in self._timers.due(now):
            yield from self.step(now, event)
