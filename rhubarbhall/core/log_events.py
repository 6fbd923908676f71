"""Catalogue of the numbered events that daemons write to the structured log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEventSpec:
    """Description of one kind of log event.

    Parameters
    ----------
    name : str
        Short name, which is logged with the number.
    meaning : str
        One sentence that explains the event to operators.
    fields : tuple of str
        Names of the values that are logged with the event.
    """

    name: str
    meaning: str
    fields: tuple[str, ...] = ()


#: Log events by their numbers.
SPEC_BY_CODE: dict[int, LogEventSpec] = {
    101: LogEventSpec("started", "The process is up.", ("member", "calls", "peers")),
    102: LogEventSpec("log_unreachable", "No read of the log succeeds.", ("since_s",)),
    103: LogEventSpec("log_reachable", "Reads of the log succeed again.", ()),
    104: LogEventSpec(
        "snapshot_rejected", "A snapshot could not be read.", ("reason",)
    ),
    105: LogEventSpec(
        "newer_schema",
        "A record of a newer schema was read; no new ownership is taken.",
        ("schema",),
    ),
    106: LogEventSpec(
        "snapshot_loaded", "The directory was loaded from a snapshot.", ("offset",)
    ),
    111: LogEventSpec("router_started", "The router is up.", ("address", "service")),
    112: LogEventSpec(
        "record_unreadable",
        "A record of the store cannot be read; the previous one stays in use.",
        ("key", "reason"),
    ),
    113: LogEventSpec("store_lost", "The store does not answer reads.", ("reason",)),
    114: LogEventSpec("store_regained", "The store answers reads again.", ()),
    115: LogEventSpec(
        "store_restored",
        "The store was restored from an older copy for the `epoch`th time; `end` is "
        "the end of the directory that was known before.",
        ("epoch", "end"),
    ),
    116: LogEventSpec(
        "record_outdated",
        "A peer has sent a record from before the restore of the store; it has no "
        "effect.",
        ("key", "offset"),
    ),
    117: LogEventSpec(
        "timer_failed",
        "A timer of the router raised an exception; the others went on.",
        ("reason", "trace"),
    ),
    201: LogEventSpec("joined", "The member has read its own join back.", ("member",)),
    202: LogEventSpec("target_unreachable", "The target could not be fenced yet.", ()),
    203: LogEventSpec(
        "join_void", "The join had no effect; a new one follows.", ("reason",)
    ),
    204: LogEventSpec(
        "fenced",
        "The log says that this run has ended; a new run begins.",
        ("member", "reason"),
    ),
    205: LogEventSpec("lease_held", "The member holds its lease.", ("member",)),
    206: LogEventSpec(
        "lease_lapsed",
        "The member's lease has lapsed; it may not serve requests.",
        ("member",),
    ),
    207: LogEventSpec(
        "members_closed", "Members have ended.", ("members", "offset", "slices_moved")
    ),
    208: LogEventSpec("slice_acquired", "A slice is served from now on.", ("slice",)),
    209: LogEventSpec(
        "release_overdue",
        "Orders of a slice that was moved away run for too long.",
        ("slice",),
    ),
    211: LogEventSpec(
        "record_written", "A record of this daemon was written.", ("key", "reason")
    ),
    212: LogEventSpec(
        "target_state", "The target's run or state changed.", ("run", "state")
    ),
    213: LogEventSpec(
        "heartbeat_rejected",
        "A heartbeat cannot be read or names another target.",
        ("reason",),
    ),
    214: LogEventSpec(
        "target_silent",
        "The target has sent no heartbeat for too long.",
        ("run", "silence_s"),
    ),
    215: LogEventSpec(
        "keys_given_away",
        "The local target was busier than others and passes ranges of keys to them.",
        ("utilization", "cost", "others", "moves"),
    ),
    216: LogEventSpec(
        "replacement_allowed",
        "An owner's lease has lapsed at this daemon; the owner may be replaced.",
        ("owner", "at"),
    ),
    217: LogEventSpec(
        "key_request_failed",
        "The target has not carried out a grant or a release of keys.",
        ("first", "last", "result"),
    ),
    218: LogEventSpec(
        "target_rate_changed",
        "The target states another rate that it takes; `rate` is null without a limit.",
        ("run", "rate"),
    ),
    219: LogEventSpec(
        "target_ended",
        "The target has ended while it ran requests, which are suspects now.",
        ("run", "suspects"),
    ),
    220: LogEventSpec(
        "request_rejected_from_now",
        "Targets have ended under a request, the last as it ran alone; equal requests "
        "are rejected.",
        ("fingerprint", "route", "path"),
    ),
    221: LogEventSpec(
        "suspect_cleared",
        "Operators have cleared a request that was suspected or rejected.",
        ("fingerprint", "known"),
    ),
    222: LogEventSpec(
        "target_cold",
        "The target is or may be cold and gets no more than `rate` requests a second.",
        ("run", "rate"),
    ),
    223: LogEventSpec(
        "target_warm",
        "The target has said that it is warm, or its warm-up has passed; `rate` is "
        "null.",
        ("run", "rate"),
    ),
    301: LogEventSpec("drain_begun", "The member has begun to leave.", ("member",)),
    302: LogEventSpec(
        "drain_ended", "The member has left; no request was interrupted.", ("member",)
    ),
    311: LogEventSpec(
        "link_up", "The connection to a daemon is established.", ("peer",)
    ),
    312: LogEventSpec("link_down", "The connection to a daemon has ended.", ("peer",)),
    313: LogEventSpec(
        "stop_begun", "The router was requested to stop.", ("in_flight",)
    ),
    314: LogEventSpec(
        "stop_ended",
        "The router exits; the requests counted have no outcome yet.",
        ("in_flight", "running", "waiting"),
    ),
    315: LogEventSpec(
        "requests_missing",
        "A peer awaits requests after its connection broke that are not known here. "
        "`not_run` are its numbers for those that have not run: they were sent in this "
        "session and never arrived. Of the others nothing is known.",
        ("peer", "not_run", "unknown"),
    ),
    401: LogEventSpec("intent_in_force", "A new intent is in force.", ("version",)),
    402: LogEventSpec(
        "record_void",
        "A record that this member appended had no effect.",
        ("kind", "reason"),
    ),
    411: LogEventSpec(
        "configuration_in_force",
        "A new configuration is in force.",
        ("version", "routes"),
    ),
    412: LogEventSpec(
        "configuration_unreadable",
        "A configuration cannot be read; the previous one stays in force. `offset` is "
        "null if a peer sent it, `version` if it cannot be read either.",
        ("offset", "version", "reason"),
    ),
    413: LogEventSpec(
        "configuration_ignored",
        "A configuration is older than the one in force, whose version is in "
        "`configuration`; it has no effect.",
        ("version", "configuration"),
    ),
    414: LogEventSpec("settings_read", "The settings were read again.", ("changed",)),
    415: LogEventSpec(
        "settings_wrong",
        "Changed settings are invalid; the previous ones stay in force.",
        ("reason",),
    ),
    421: LogEventSpec(
        "evacuation_known",
        "Operators evacuate a failure domain; its targets get no more requests.",
        ("domain", "position"),
    ),
    422: LogEventSpec(
        "evacuation_ended",
        "Operators have taken a failure domain back.",
        ("domain", "position"),
    ),
    511: LogEventSpec(
        "request_sent_again",
        "A request was sent again, to another daemon.",
        ("request", "to", "attempt", "left_s", "directory", "directory_age_s"),
    ),
    512: LogEventSpec(
        "request_ended",
        "A caller received the outcome of its request.",
        ("request", "route", "service", "outcome", "took_s", "tries", "tried"),
    ),
    513: LogEventSpec(
        "order_ended",
        "Another daemon received the outcome of its request to the local target.",
        ("request", "run", "outcome", "running", "waiting", "limit"),
    ),
}
