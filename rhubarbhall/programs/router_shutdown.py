"""Handlers for changed settings and for the planned stop of a router."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from rhubarbhall.adapters.peer_links import CHECK_INTERVAL_S
from rhubarbhall.core.commands import LogEvent
from rhubarbhall.core.errors import ConfigurationError
from rhubarbhall.core.timers import TimerCallback
from rhubarbhall.core.traffic.shutdown import Shutdown
from rhubarbhall.platform.settings import read_settings

if TYPE_CHECKING:
    from rhubarbhall.types import Seconds

#: Time between two checks whether the settings file has changed, in seconds.
SETTINGS_CHECK_INTERVAL_S = 1.0


def file_version(path: Path) -> tuple[int, int] | None:
    """Return the modification time (ns) and size of a file; none if it is missing."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


class ShutdownHandlers:
    """Handles settings and stop signals; a mix-in of `RoutingDaemon`, on its fields."""

    def _check_settings(self, now: Seconds) -> None:
        if file_version(self._settings_path) != self._settings_version:
            self.reload()

    def reload(self) -> None:
        """Read the settings again; if they have changed, stop so that they take effect.

        A file that cannot be read or is invalid is logged and otherwise ignored.
        """
        self._settings_version = file_version(self._settings_path)
        try:
            settings = read_settings(self._settings_path)
        except ConfigurationError as error:
            self.log_event(LogEvent(415, {"reason": str(error)}))
            return
        changed = settings != self.settings
        self.log_event(LogEvent(414, {"changed": changed}))
        if changed:
            # The ports, the target and the service are fixed at construction. The
            # platform restarts the process, which then reads the settings again.
            self.request_stop()

    def request_stop(self, signalled_before_s: Seconds = 0.0) -> None:
        """Start to drain the daemon and then exit; a second call has no effect.

        Parameters
        ----------
        signalled_before_s : float
            Time since the stop signal, from which the platform counts the grace period.
        """
        if self.shutdown is None:
            now = self._advance_timers()
            requested_at = now - signalled_before_s
            self.shutdown = Shutdown(requested_at, self.settings.grace_s)
            # A timer of its own: a failure of another check must not hold up the exit.
            self.timers.every(
                CHECK_INTERVAL_S, TimerCallback(self._check_stop), first=now
            )
            self.request_router.drain(self.shutdown.last_outcomes_at)
            self.admission_queue.drain(self.shutdown.last_outcomes_at)
            self.log_event(LogEvent(313, {"in_flight": self.request_router.in_flight}))

    def _check_stop(self, now: Seconds) -> None:
        shutdown = self.shutdown
        if now >= shutdown.exit_at:
            # Also after a loop that was busy since the last outcomes were due.
            self.request_router.end_pending(now)
            self.end()
            return
        if now >= shutdown.notice_at and not self._shutdown_announced:
            self._shutdown_announced = True
            self.sessions.announce_shutdown()
        if now < shutdown.accepting_until:
            return
        if not self.callers.draining:
            self.callers.draining = True
            self.callers.stop_listening()
        self.callers.close_idle()
        if now >= shutdown.last_outcomes_at:
            self.request_router.end_pending(now)
        if shutdown.lingers_since is None:
            if shutdown.may_close_to_peers(now, self._has_work()):
                shutdown.lingers_since = now
                self.sessions.acceptor.stop_listening()
        elif shutdown.may_exit(now):
            self.end()

    def _has_work(self) -> bool:
        """Return whether somebody waits for an answer of this daemon."""
        return bool(
            self.request_router.in_flight
            or not self.admission_queue.is_idle
            or self.callers.connections
            or self.sessions.has_undelivered
        )

    def end(self) -> None:
        """Log what has no outcome yet and end the loop; a second call has no effect."""
        if not self._ended:
            self._ended = True
            load = self.admission_queue.load
            fields = {
                "in_flight": self.request_router.in_flight,
                "running": load.running,
                "waiting": load.waiting,
            }
            self.log_event(LogEvent(314, fields))
            self._on_exit()
