"""Runs components on one loop until a signal or the program ends it."""

from __future__ import annotations

import signal
from collections.abc import Callable

from circuits import BaseComponent, Manager, handler

from rhubarbhall.adapters.poller import DirectPoll

#: Longest time between two looks for a signal.
SIGNAL_CHECK_S = 0.1


class Loop:
    """One loop on one thread.

    Parameters
    ----------
    on_stop : callable
        Called on SIGTERM and SIGINT in place of ending at once.
    """

    def __init__(self, on_stop: Callable[[], None] | None = None) -> None:
        self.manager = Manager()
        DirectPoll().register(self.manager)
        _Signals(on_stop or self.stop).register(self.manager)

    def add(self, component: BaseComponent) -> None:
        """Add a component."""
        component.register(self.manager)

    def stop(self) -> None:
        """End the loop after the present round."""
        self.manager.stop()

    def run(self) -> None:
        """Run until `stop`."""
        self.manager.run()


class _Signals(BaseComponent):
    """Turns signals into calls on the loop.

    Replaces the handlers that circuits installs when it starts. A signal only
    leaves a mark, so that it never breaks into a step of the core.
    """

    def __init__(self, on_stop: Callable[[], None]) -> None:
        super().__init__()
        self._on_stop = on_stop
        self._stop_requested = False

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._mark)

    def _mark(self, *args: object) -> None:
        self._stop_requested = True

    @handler("generate_events", priority=20)
    def _generate_events(self, event) -> None:
        if self._stop_requested:
            self._stop_requested = False
            self._on_stop()
        event.reduce_time_left(SIGNAL_CHECK_S)
