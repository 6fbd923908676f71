"""The event loop of a process, which runs until a signal or the program stops it."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from circuits import BaseComponent, Manager, handler

from rhubarbhall.adapters.poller import DirectPoll

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

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
        action_by_signal = dict.fromkeys(_STOP_SIGNALS, on_stop or self.stop)
        if on_reload is not None:
            action_by_signal[signal.SIGHUP] = on_reload
        self._signals = _Signals(action_by_signal)
        self.manager = _SignalManager(self._signals)
        DirectPoll().register(self.manager)
        self._signals.register(self.manager)

    def catch_signals(self) -> None:
        """Record signals from now on; the loop carries out their actions once it runs.

        To be called before the process opens a port: from then on it stops as planned
        only. `run` does it otherwise.
        """
        self._signals.install()

    @property
    def signal_delay_s(self) -> Seconds:
        """Time from the last signal to its action, in seconds.

        A busy loop, or one that has not begun to run, carries out actions late; what
        has to be done by a time after the signal counts from the signal.
        """
        return self._signals.delay_s

    def add(self, component: BaseComponent) -> None:
        """Add a component to the loop."""
        component.register(self.manager)

    def stop(self) -> None:
        """Stop the loop after its present iteration."""
        self.manager.stop()

    def run(self) -> None:
        """Run until `stop` is called."""
        self.catch_signals()
        self.manager.run()


class _Signals(BaseComponent):
    """Calls an action on the loop for each received signal.

    The signal handler only records the signal, so that no action interrupts a step of
    the core.
    """

    def __init__(self, action_by_signal: dict[int, Callable[[], None]]) -> None:
        super().__init__()
        self._action_by_signal = action_by_signal
        #: When each signal whose action is due was received first.
        self._received: dict[int, Seconds] = {}
        self.delay_s: Seconds = 0.0

    def install(self) -> None:
        for number in self._action_by_signal:
            signal.signal(number, self.record)

    def record(self, number: int, frame: object) -> None:
        self._received.setdefault(number, time.monotonic())

    @handler("generate_events", priority=20)
    def _generate_events(self, event) -> None:
        while self._received:
            number, received_at = self._received.popitem()
            self.delay_s = time.monotonic() - received_at
            self._action_by_signal[number]()
        event.reduce_time_left(SIGNAL_CHECK_INTERVAL_S)


class _SignalManager(Manager):
    """A manager that records signals while it starts, too.

    When it runs, circuits installs a handler of its own, which ends the process.
    """

    def __init__(self, signals: _Signals) -> None:
        super().__init__()
        self._signals = signals

    def _signal_handler(self, signo: int, stack: object) -> None:
        self._signals.record(signo, stack)
