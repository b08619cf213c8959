"""Checks promises from what callers and endpoints see."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from borageworks_emulator.platform.engine import Run, event_bytes, plain_text
from borageworks_emulator.soak.bounds import (
    CONTACT_S,
    DRAIN_S,
    GRACE_S,
    LEAVE_SLACK_S,
    LOSS_SLACK_S,
    MAX_ATTEMPTS,
)
from borageworks_emulator.soak.call import Call, Ending
from borageworks_emulator.soak.disturbances import STORE, Disturbances
from borageworks_emulator.soak.promise import BrokenPromise, Promise

# Routes of the stand-in's configuration whose requests must not be repeated.
UNREPEATABLE = frozenset(("once", "book"))
# Ids of requests that ask which configuration is in force start with this.
PROBE_PREFIX = "probe-"
# Statuses that promise that a request has not run and will not.
PROMISED = frozenset((408, 421, 429, 503))
# An endpoint that is still at work then is cut by the end of the process.
LAST_PART_OF_GRACE = 5 / 6


@dataclass(slots=True)
class _Request:
    call: Call
    runs: list[tuple[str, float]] = field(default_factory=list)
    finished: dict[str, float] = field(default_factory=dict)


class Promises:
    """Checks promises from what callers and endpoints see, while it happens.

    Parameters
    ----------
    disturbances
        Tells whom bounds hold for.
    clock
        Returns the time in seconds.
    """

    def __init__(self, disturbances: Disturbances, clock: Callable[[], float]) -> None:
        self._disturbances = disturbances
        self._clock = clock
        self._started_at = clock()
        self._requests: dict[str, _Request] = {}
        self._draining: dict[str, float] = {}
        self._stopping: dict[str, list[float]] = defaultdict(list)
        self.broken: list[BrokenPromise] = []

    @property
    def calls(self) -> list[Call]:
        """All calls, in the order of sending."""
        return [request.call for request in self._requests.values()]

    def runs(self, call: Call) -> int:
        """Return how often a call's request ran."""
        return len(self._requests[call.id].runs)

    def report(self, promise: Promise, detail: str) -> None:
        """Note a broken promise."""
        at = self._clock() - self._started_at
        self.broken.append(BrokenPromise(promise, at, detail))

    def sent(self, call: Call) -> None:
        """Note a request before it is sent."""
        self._requests[call.id] = _Request(call)

    def drained(self, endpoint: str) -> None:
        """Note that the store has accepted an endpoint's leaving."""
        self._draining[endpoint] = self._clock()

    def stopping(self, gateway: str) -> None:
        """Note a SIGTERM."""
        self._stopping[gateway].append(self._clock())

    def began(self, endpoint: str, run: Run) -> None:
        """Check a request that an endpoint begins to run."""
        request = self._requests.get(run.id)
        if request is None:
            if run.id.startswith(PROBE_PREFIX):
                return
            self.report(Promise.UNCHANGED_REQUEST, f"{endpoint} ran unknown {run.id!r}")
            return
        call = request.call
        request.runs.append((endpoint, run.at))
        if call.route in UNREPEATABLE and len(request.runs) > 1:
            self.report(Promise.AT_MOST_ONCE, f"{_name(call)} ran at {request.runs}")
        if len(request.runs) > MAX_ATTEMPTS:
            self.report(Promise.ATTEMPTS, f"{_name(call)} ran at {request.runs}")
        if call.ending is Ending.REFUSED:
            self.report(
                Promise.TRUE_REFUSAL,
                f"{_name(call)} began at {endpoint} after its {call.status}",
            )
        for what, seen, expected in (
            ("path", run.target, call.target),
            ("body", run.body, call.body),
            (
                "organisation",
                run.headers.get("X-Borageworks-Tenant", ""),
                call.organisation,
            ),
            ("key", run.headers.get("Authorization"), None),
        ):
            if seen != expected:
                self.report(
                    Promise.UNCHANGED_REQUEST,
                    f"{_name(call)} reached {endpoint} with {what} {seen!r}, "
                    f"not {expected!r}",
                )
        left_at = self._draining.get(endpoint)
        if (
            left_at is not None
            and run.at > left_at + DRAIN_S
            and self._calm(call.gateway, call.sent_at, run.at)
            and self._disturbances.calm(STORE, left_at - CONTACT_S, run.at)
        ):
            self.report(
                Promise.LEAVING_ENDPOINT,
                f"{_name(call)} reached {endpoint} {run.at - left_at:.2f} s after it "
                f"left",
            )

    def finished(self, endpoint: str, run: Run) -> None:
        """Check the end of an endpoint's work."""
        request = self._requests.get(run.id)
        if request is None:
            return
        now = self._clock()
        request.finished[endpoint] = now
        call = request.call
        if (
            call.ending in (Ending.LEFT, Ending.WAITED)
            and call.ended_at is not None
            and now > call.ended_at + LEAVE_SLACK_S
            and self._calm(call.gateway, call.sent_at, now)
            and self._disturbances.calm(endpoint, call.sent_at, now)
        ):
            self.report(
                Promise.WORK_CANCELLED,
                f"{endpoint} worked on {_name(call)} for "
                f"{now - call.ended_at:.2f} s after its caller left",
            )

    def ended(self, call: Call) -> None:
        """Check a request that has ended for its caller."""
        request = self._requests[call.id]
        if call.ending is Ending.REFUSED and request.runs:
            self.report(
                Promise.TRUE_REFUSAL,
                f"{_name(call)} got {call.status} and ran at {request.runs}",
            )
        if call.ending in (Ending.CLOSED, Ending.CUT):
            self._check_shutdown(request)

    def check_answer(self, call: Call, seal: str, identity: str, body: bytes) -> None:
        """Check an answer that looks complete, with success."""
        if identity != call.id:
            self.report(
                Promise.OWN_ANSWER, f"{_name(call)} got the answer of {identity!r}"
            )
            return
        if call.events:
            expected = stream_bytes(call)
        else:
            expected = plain_text(seal.removeprefix("seal-of-"), call.id).encode()
        if body != expected:
            self.report(
                Promise.OWN_ANSWER,
                f"{_name(call)} ended with {body[-120:]!r}, not {expected[-120:]!r}",
            )

    def check_part(self, call: Call, body: bytes) -> None:
        """Check the part of a stream that arrived before it was cut."""
        if call.events and not stream_bytes(call).startswith(body):
            self.report(
                Promise.OWN_ANSWER, f"{_name(call)} was cut after {body[-120:]!r}"
            )

    def _check_shutdown(self, request: _Request) -> None:
        call = request.call
        assert call.ended_at is not None
        ended_at = call.ended_at
        stops = [
            at for at in self._stopping[call.gateway] if at <= ended_at <= at + GRACE_S
        ]
        if not stops or not self._calm(call.gateway, call.sent_at, ended_at):
            return
        if any(
            not self._disturbances.calm(endpoint, call.sent_at - CONTACT_S, ended_at)
            for endpoint, _ in request.runs
        ):
            return
        if ended_at > stops[-1] + LAST_PART_OF_GRACE * GRACE_S:
            return
        if request.runs or ended_at - call.sent_at > LOSS_SLACK_S:
            self.report(
                Promise.NO_CUT_AT_SHUTDOWN,
                f"{_name(call)} {call.ending} after {ended_at - call.sent_at:.2f} s, "
                f"{ended_at - stops[-1]:.2f} s after SIGTERM ({call.detail})",
            )

    def _calm(self, gateway: str, since: float, until: float) -> bool:
        return self._disturbances.calm(gateway, since - CONTACT_S, until)


def stream_bytes(call: Call) -> bytes:
    """Return the whole stream that answers a call."""
    return b"".join(event_bytes(event, call.id) for event in range(call.events))


def _name(call: Call) -> str:
    return f"{call.route} {call.id} at {call.gateway}"
