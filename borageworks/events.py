"""Numbered log events, documented in docs/events.md."""

from __future__ import annotations

from enum import Enum
from typing import Any

import eliot


class Event(Enum):
    """A log event: number and message type.

    Numbers are grouped by subject: 1xx process, 2xx configuration, 3xx membership,
    4xx requests, 5xx endpoints, 6xx claims and store, 7xx peers.
    """

    INSTANCE_STARTED = (101, "instance_started")
    INSTANCE_STOPPING = (102, "instance_stopping")
    INSTANCE_STOPPED = (103, "instance_stopped")
    TASK_FAILED = (104, "task_failed")
    LOG_LINES_DROPPED = (105, "log_lines_dropped")
    OVERLOAD_BEGAN = (106, "overload_began")
    OVERLOAD_ENDED = (107, "overload_ended")
    ACCEPT_FAILED = (108, "accept_failed")
    ADMISSION_LIMITED = (109, "admission_limited")
    ADMISSION_OPENED = (110, "admission_opened")
    CROWDING_BEGAN = (111, "crowding_began")
    CROWDING_ENDED = (112, "crowding_ended")
    LOOP_HELD = (113, "loop_held")
    CALLER_REJECTED = (114, "caller_rejected")
    MEMORY_LIMIT = (115, "memory_limit")
    CATALOG_CHANGED = (201, "catalog_changed")
    CATALOG_BEHIND = (202, "catalog_behind")
    DEPLOYMENT_CHANGED = (203, "deployment_changed")
    DEPLOYMENT_REJECTED = (204, "deployment_rejected")
    ENDPOINT_LISTED = (205, "endpoint_listed")
    ENDPOINT_ENTRY_REJECTED = (206, "endpoint_entry_rejected")
    SETTINGS_RELOADED = (207, "settings_reloaded")
    REPLICA_RELAYED = (208, "replica_relayed")
    REPLICA_UPDATE_IGNORED = (209, "replica_update_ignored")
    EVACUATION = (210, "evacuation")
    MEMBER_CHANGED = (301, "member_changed")
    DOMAIN_REACHABILITY = (302, "domain_reachability")
    INSTANCE_PAUSED = (303, "instance_paused")
    REQUEST_REFUSED = (401, "request_refused")
    REQUEST_RETRIED = (402, "request_retried")
    ANSWER_DROPPED = (403, "answer_dropped")
    ANSWER_CUT = (404, "answer_cut")
    REQUEST_ENDED = (405, "request_ended")
    ATTEMPT_FAILED = (406, "attempt_failed")
    REQUEST_PLACED = (408, "request_placed")
    ORGANISATIONS_REFUSED = (409, "organisations_refused")
    PLACEMENT_STATE = (410, "placement_state")
    CRASH_TRAIT = (411, "crash_trait")
    ENDPOINT_NOTICE = (412, "endpoint_notice")
    STREAM_RESOLVED = (413, "stream_resolved")
    VERSIONS_STORED = (414, "versions_stored")
    ORGANISATION_SHARES = (415, "organisation_shares")
    ENDPOINT_LOAD_MALFORMED = (416, "endpoint_load_malformed")
    ENDPOINT_LOADS_USED = (417, "endpoint_loads_used")
    COLD_LIMIT = (418, "cold_limit")
    PLACEMENT_PATHS = (419, "placement_paths")
    ENDPOINT_DOWN = (501, "endpoint_down")
    ENDPOINT_UP = (502, "endpoint_up")
    ENDPOINT_OWNED = (503, "endpoint_owned")
    ENDPOINT_DISOWNED = (504, "endpoint_disowned")
    STORE_DOWN = (601, "store_down")
    STORE_UP = (602, "store_up")
    CLAIM_CONFLICT = (603, "claim_conflict")
    CLAIM_SHARD_LOADED = (604, "claim_shard_loaded")
    CLAIM_COMMIT_UNSETTLED = (605, "claim_commit_unsettled")
    STORE_REPLY_MALFORMED = (606, "store_reply_malformed")
    LEASE_LOST = (607, "lease_lost")
    LINK_KEY_KNOWN = (608, "link_key_known")
    STORE_RESTORED = (609, "store_restored")
    CRASH_ITEM_REJECTED = (610, "crash_item_rejected")
    PEER_CONNECTED = (701, "peer_connected")
    PEER_DISCONNECTED = (702, "peer_disconnected")
    PEER_REJECTED = (703, "peer_rejected")
    PLACEMENT_MOVED = (704, "placement_moved")
    PLACED_ALONE = (705, "placed_alone")
    FEED_CHANGED = (706, "feed_changed")

    @property
    def number(self) -> int:
        """Stable number of the event."""
        return int(self.value[0])

    @property
    def message_type(self) -> str:
        """Name of the event in the log."""
        return str(self.value[1])


def emit(event: Event, **fields: Any) -> None:
    """Write one event to the structured log."""
    eliot.log_message(
        message_type=f"borageworks:{event.message_type}", event=event.number, **fields
    )
