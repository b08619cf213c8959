"""Checks the gateway's guarantees from what callers and endpoints observe."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from borageworks_emulator.platform.endpoint import Run, event_bytes, plain_body_text
from borageworks_emulator.soak.bounds import (
    CANCELLATION_TOLERANCE_S,
    CLOSE_RACE_TOLERANCE_S,
    COLD_BOUND_PER_S,
    COLD_S,
    CONTACT_BOUND_S,
    DRAIN_BOUND_S,
    EVACUATE_BOUND_S,
    MAX_ATTEMPTS,
    SHUTDOWN_GRACE_S,
)
from borageworks_emulator.soak.call import Call, Ending
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.guarantee import Guarantee, Violation

# Versions of the engines' software; events name the one that wrote them.
SOFTWARE_VERSIONS = ("v0", "v1", "v2")
_VERSION = re.compile(rb"@(v\d)\n\n")
# Non-idempotent routes of the emulated platform's configuration.
NON_IDEMPOTENT_ROUTES = frozenset(("once", "book"))
# Prefix of the ids of requests that probe which configuration is in effect.
PROBE_PREFIX = "probe-"
# Statuses that guarantee that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Requests that end after this fraction of the grace period are not checked, because the
# exit of the process may cut requests that endpoints are still running.
CHECKED_GRACE_RATIO = 5 / 6


@dataclass(slots=True)
class _Request:
    call: Call
    runs: list[tuple[str, float]] = field(default_factory=list)
    finished_at: dict[str, float] = field(default_factory=dict)


class GuaranteeChecker:
    """Checks the gateway's guarantees while callers and endpoints report events.

    Parameters
    ----------
    disturbances
        Disturbed participants, for which time bounds do not apply.
    clock
        Returns the current time in seconds.
    """

    def __init__(self, disturbances: Disturbances, clock: Callable[[], float]) -> None:
        self._disturbances = disturbances
        self._clock = clock
        self._started_at = clock()
        self._requests: dict[str, _Request] = {}
        self._draining: dict[str, float] = {}
        self._evacuated: dict[str, float] = {}
        self._cold_until: dict[str, float] = {}
        # Starts of the runs at endpoints that are cold.
        self._cold_runs: dict[str, list[float]] = defaultdict(list)
        self._stopping: dict[str, list[float]] = defaultdict(list)
        self.violations: list[Violation] = []

    @property
    def calls(self) -> list[Call]:
        """All requests, in the order of sending."""
        return [request.call for request in self._requests.values()]

    def run_count(self, call: Call) -> int:
        """Return how often a request ran."""
        return len(self._requests[call.id].runs)

    def report(self, guarantee: Guarantee, detail: str) -> None:
        """Record a violated guarantee."""
        at_s = self._clock() - self._started_at
        self.violations.append(Violation(guarantee, at_s, detail))

    def request_sent(self, call: Call) -> None:
        """Record a request before it is sent."""
        self._requests[call.id] = _Request(call)

    def endpoint_draining(self, endpoint: str) -> None:
        """Record that the store holds an endpoint's draining state."""
        self._draining[endpoint] = self._clock()

    def domain_evacuated(self, domain: str) -> None:
        """Record that the store holds the evacuation of a failure domain."""
        self._evacuated[domain] = self._clock()

    def domain_returning(self, domain: str) -> None:
        """Record that the evacuation of a failure domain is being withdrawn."""
        self._evacuated.pop(domain, None)

    def endpoint_cold(self, endpoint: str) -> None:
        """Record that an endpoint has become cold."""
        self._cold_until[endpoint] = self._clock() + COLD_S

    def check_domain(self, endpoint: str, domain: str, run: Run) -> None:
        """Check a request that an endpoint of a failure domain starts to run."""
        at = run.started_at
        if at < self._cold_until.get(endpoint, at):
            starts = self._cold_runs[endpoint]
            starts.append(at)
            count = sum(start > at - 1.0 for start in starts)
            if count > COLD_BOUND_PER_S:
                self.report(
                    Guarantee.COLD_ENGINE,
                    f"{endpoint} got {count} requests in a second",
                )
        evacuated_at = self._evacuated.get(domain, at)
        request = self._requests.get(run.id)
        if (
            request is not None
            and at > evacuated_at + EVACUATE_BOUND_S
            and self._undisturbed(request.call.gateway, evacuated_at, at)
            and self._disturbances.undisturbed(STORE, evacuated_at, at)
        ):
            self.report(
                Guarantee.EVACUATED_DOMAIN,
                f"{_describe(request.call)} reached {endpoint} of {domain} "
                f"{at - evacuated_at:.2f} s after its evacuation",
            )

    def gateway_stopping(self, gateway: str) -> None:
        """Record that a gateway is sent SIGTERM."""
        self._stopping[gateway].append(self._clock())

    def run_started(self, endpoint: str, run: Run) -> None:
        """Check a request that an endpoint starts to run."""
        request = self._requests.get(run.id)
        if request is None:
            if run.id.startswith(PROBE_PREFIX):
                return
            self.report(
                Guarantee.UNCHANGED_REQUEST,
                f"{endpoint} ran unknown request {run.id!r}",
            )
            return
        call = request.call
        request.runs.append((endpoint, run.started_at))
        if call.route in NON_IDEMPOTENT_ROUTES and len(request.runs) > 1:
            self.report(
                Guarantee.AT_MOST_ONCE, f"{_describe(call)} ran at {request.runs}"
            )
        if len(request.runs) > MAX_ATTEMPTS:
            self.report(Guarantee.ATTEMPTS, f"{_describe(call)} ran at {request.runs}")
        if call.ending is Ending.REFUSED:
            self.report(
                Guarantee.TRUE_REFUSAL,
                f"{_describe(call)} started at {endpoint} after status {call.status}",
            )
        for field_name, actual, expected in (
            ("path", run.target, call.target),
            ("body", run.body, call.body),
            (
                "organisation",
                run.headers.get("X-Borageworks-Tenant", ""),
                call.organisation,
            ),
            ("key", run.headers.get("Authorization"), None),
        ):
            if actual != expected:
                self.report(
                    Guarantee.UNCHANGED_REQUEST,
                    f"{_describe(call)} reached {endpoint} with {field_name} "
                    f"{actual!r}, expected {expected!r}",
                )
        draining_at = self._draining.get(endpoint)
        if (
            draining_at is not None
            and run.started_at > draining_at + DRAIN_BOUND_S
            and self._undisturbed(call.gateway, call.sent_at, run.started_at)
            and self._disturbances.undisturbed(
                STORE, draining_at - CONTACT_BOUND_S, run.started_at
            )
        ):
            self.report(
                Guarantee.LEAVING_ENDPOINT,
                f"{_describe(call)} reached {endpoint} "
                f"{run.started_at - draining_at:.2f} s after it started draining",
            )

    def run_finished(self, endpoint: str, run: Run) -> None:
        """Check when an endpoint stops running a request."""
        request = self._requests.get(run.id)
        if request is None:
            return
        now = self._clock()
        request.finished_at[endpoint] = now
        call = request.call
        if (
            call.ending in (Ending.LEFT, Ending.WAITED)
            and call.ended_at is not None
            and now > call.ended_at + CANCELLATION_TOLERANCE_S
            and self._undisturbed(call.gateway, call.sent_at, now)
            and self._disturbances.undisturbed(endpoint, call.sent_at, now)
        ):
            self.report(
                Guarantee.WORK_CANCELLED,
                f"{endpoint} ran {_describe(call)} for "
                f"{now - call.ended_at:.2f} s after its caller had disconnected",
            )

    def request_ended(self, call: Call) -> None:
        """Check a request that has ended for its caller."""
        request = self._requests[call.id]
        if call.ending is Ending.REFUSED and request.runs:
            self.report(
                Guarantee.TRUE_REFUSAL,
                f"{_describe(call)} was refused with {call.status} and "
                f"ran at {request.runs}",
            )
        if call.ending in (Ending.CLOSED, Ending.CUT):
            self._check_shutdown(request)

    def check_response(
        self, call: Call, seal: str, request_id: str, body: bytes
    ) -> None:
        """Check a successful response that ended regularly."""
        if request_id != call.id:
            self.report(
                Guarantee.OWN_ANSWER,
                f"{_describe(call)} got the response to {request_id!r}",
            )
            return
        if call.events:
            self.record_events(call, body)
            expected = stream_bytes(call, call.software_version)
        else:
            expected = plain_body_text(seal.removeprefix("seal-of-"), call.id).encode()
        if body != expected:
            self.report(
                Guarantee.OWN_ANSWER,
                f"{_describe(call)} ended with {body[-120:]!r}, "
                f"not {expected[-120:]!r}",
            )

    def check_partial_response(self, call: Call, body: bytes) -> None:
        """Check what arrived of a stream before it was cut."""
        if not call.events:
            return
        self.record_events(call, body)
        versions = [call.software_version] if call.received else SOFTWARE_VERSIONS
        if not any(stream_bytes(call, item).startswith(body) for item in versions):
            self.report(
                Guarantee.OWN_ANSWER, f"{_describe(call)} was cut after {body[-120:]!r}"
            )

    def record_events(self, call: Call, body: bytes) -> None:
        """Record the events received, and check that one version wrote them."""
        versions = [found.decode() for found in _VERSION.findall(body)]
        call.received = len(versions)
        known = {*versions, call.software_version} - {""}
        if len(known) > 1:
            self.report(
                Guarantee.ONE_VERSION,
                f"{_describe(call)}, from event {call.first_event} of "
                f"{call.origin or call.id}, has events of {sorted(known)}",
            )
        call.software_version = versions[-1] if versions else call.software_version

    def _check_shutdown(self, request: _Request) -> None:
        call = request.call
        assert call.ended_at is not None
        ended_at = call.ended_at
        stopped_at = [
            at
            for at in self._stopping[call.gateway]
            if at <= ended_at <= at + SHUTDOWN_GRACE_S
        ]
        if not stopped_at or not self._undisturbed(
            call.gateway, call.sent_at, ended_at
        ):
            return
        if any(
            not self._disturbances.undisturbed(
                endpoint, call.sent_at - CONTACT_BOUND_S, ended_at
            )
            for endpoint, _ in request.runs
        ):
            return
        if ended_at > stopped_at[-1] + CHECKED_GRACE_RATIO * SHUTDOWN_GRACE_S:
            return
        if request.runs or ended_at - call.sent_at > CLOSE_RACE_TOLERANCE_S:
            self.report(
                Guarantee.NO_CUT_AT_SHUTDOWN,
                f"{_describe(call)} {call.ending} after "
                f"{ended_at - call.sent_at:.2f} s, "
                f"{ended_at - stopped_at[-1]:.2f} s after SIGTERM ({call.detail})",
            )

    def _undisturbed(self, gateway: str, since: float, until: float) -> bool:
        return self._disturbances.undisturbed(gateway, since - CONTACT_BOUND_S, until)


def stream_bytes(call: Call, version: str) -> bytes:
    """Return the complete stream with which a version responds to a request."""
    return b"".join(
        event_bytes(event, f"{call.id}@{version}")
        for event in range(call.first_event, call.events)
    )


def _describe(call: Call) -> str:
    return f"{call.route} {call.id} at {call.gateway}"
