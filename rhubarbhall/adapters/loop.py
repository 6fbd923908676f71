"""The event loop of a process, which runs until a signal or the program stops it."""

from __future__ import annotations

import signal
from collections.abc import Callable

from circuits import BaseComponent, Manager, handler

from rhubarbhall.adapters.poller import DirectPoll

#: Upper bound of the time between two checks for received signals.
SIGNAL_CHECK_INTERVAL_S = 0.1
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Loop:
    """An event loop for circuits components, on one thread.

    Parameters
    ----------
    on_stop : callable, optional
        Called on SIGTERM and SIGINT, which stop the loop otherwise.
    on_reload : callable, optional
        Called on SIGHUP, which keeps its default action otherwise.
    """

    def __init__(
        self,
        on_stop: Callable[[], None] | None = None,
        on_reload: Callable[[], None] | None = None,
    ) -> None:
        self.manager = Manager()
        DirectPoll().register(self.manager)
        action_by_signal = dict.fromkeys(_STOP_SIGNALS, on_stop or self.stop)
        if on_reload is not None:
            action_by_signal[signal.SIGHUP] = on_reload
        _Signals(action_by_signal).register(self.manager)

    def add(self, component: BaseComponent) -> None:
        """Add a component to the loop."""
        component.register(self.manager)

    def stop(self) -> None:
        """Stop the loop after its present iteration."""
        self.manager.stop()

    def run(self) -> None:
        """Run until `stop` is called."""
        self.manager.run()


class _Signals(BaseComponent):
    """Calls an action on the loop for each received signal.

    Replaces the handlers that circuits installs when it starts. The signal handler only
    records the signal, so that no action interrupts a step of the core.
    """

    def __init__(self, action_by_signal: dict[int, Callable[[], None]]) -> None:
        super().__init__()
        self._action_by_signal = action_by_signal
        self._received: set[int] = set()

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        for number in self._action_by_signal:
            signal.signal(number, self._record_signal)

    def _record_signal(self, number: int, frame: object) -> None:
        self._received.add(number)

    @handler("generate_events", priority=20)
    def _generate_events(self, event) -> None:
        while self._received:
            self._action_by_signal[self._received.pop()]()
        event.reduce_time_left(SIGNAL_CHECK_INTERVAL_S)
