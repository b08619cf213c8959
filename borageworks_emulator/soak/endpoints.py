"""Emulated endpoints of a soak: engines that prefill serially, and plain services."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from aiohttp import web

from borageworks_emulator.platform.endpoint import Behaviour, EmulatedEndpoint, Run
from borageworks_emulator.soak.bounds import COLD_S
from borageworks_emulator.soak.guarantee_checker import (
    SOFTWARE_VERSIONS,
    GuaranteeChecker,
)

ENGINE_SLOTS = 8
# Requests that an endpoint accepts beyond its slots before it refuses.
ENDPOINT_QUEUE_LENGTH = 8
PREFILL_TOKENS_PER_S = 5_000.0
EVENT_INTERVAL_S = 0.02
PLAIN_RESPONSE_TIME_S = 0.02
PLAIN_SLOTS = 8


Misbehaviour = Callable[[Behaviour], Behaviour]


def regular(behaviour: Behaviour) -> Behaviour:
    """Serve requests without misbehaviour."""
    return behaviour


class SoakEndpoint(EmulatedEndpoint):
    """Endpoint with limited capacity that reports its runs to a checker.

    Parameters
    ----------
    name
        Name, which changes with each incarnation.
    service
        Service that it belongs to.
    engine
        Whether it is a model engine.
    checker
        Receives the start and end of each run.
    domain
        Failure domain.
    """

    def __init__(
        self,
        name: str,
        service: str,
        engine: bool,
        checker: GuaranteeChecker,
        domain: str,
    ) -> None:
        super().__init__(name, self._behaviour_of)
        self.domain = domain
        self.service = service
        self.engine = engine
        self.misbehaviour: Misbehaviour = regular
        self._generation = int(name.rpartition("-")[2])
        self.software_version = self._version()
        self._checker = checker
        self._running: set[int] = set()
        self._cached_parts: set[str] = set()
        self._prefill_free_at = 0.0
        self.on_run_started = self._record_start
        self.on_run_finished = self._record_end

    @property
    def slots(self) -> int:
        """Number of requests that it runs concurrently."""
        return ENGINE_SLOTS if self.engine else PLAIN_SLOTS

    def restart_as(self, name: str) -> None:
        """Become a new incarnation with an empty prompt cache."""
        self.name = name
        self._generation += 1
        self.software_version = self._version()
        self._cached_parts.clear()
        self._prefill_free_at = 0.0
        if self.engine:
            self.cold_ms = round(COLD_S * 1000)
            self._checker.endpoint_cold(name)

    def _version(self) -> str:
        """Return the version of its software, which each restart may change."""
        return SOFTWARE_VERSIONS[self._generation % len(SOFTWARE_VERSIONS)]

    def _behaviour_of(self, request: web.BaseRequest) -> Behaviour:
        if len(self._running) >= self.slots + ENDPOINT_QUEUE_LENGTH:
            return Behaviour(not_run=True)
        if not self.engine:
            plain = Behaviour(
                plain_body=True,
                with_request_id=True,
                response_delay_s=PLAIN_RESPONSE_TIME_S,
            )
            return self.misbehaviour(plain)
        generated_tokens = int(
            request.headers["X-Borageworks-Token-Count"].split(",")[1]
        )
        return self.misbehaviour(
            Behaviour(
                with_request_id=True,
                with_version=True,
                events=event_count(generated_tokens),
                event_interval_s=EVENT_INTERVAL_S,
                response_delay_s=self._prefill_delay_s(
                    request.headers["X-Borageworks-Prompt-Prefix"]
                ),
            )
        )

    def _prefill_delay_s(self, prefix: str) -> float:
        """Return the seconds until a prompt is prefilled, queueing included."""
        uncached_tokens = 0
        for part in prefix.split(","):
            name, _, size = part.partition(":")
            if name not in self._cached_parts:
                uncached_tokens += int(size)
                self._cached_parts.add(name)
        now = asyncio.get_running_loop().time()
        self._prefill_free_at = (
            max(self._prefill_free_at, now) + uncached_tokens / PREFILL_TOKENS_PER_S
        )
        return self._prefill_free_at - now

    def _record_start(self, run: Run) -> None:
        self._running.add(id(run))
        self._checker.run_started(self.name, run)
        self._checker.check_domain(self.name, self.domain, run)

    def _record_end(self, run: Run) -> None:
        self._running.discard(id(run))
        self._checker.run_finished(self.name, run)


def event_count(generated_tokens: int) -> int:
    """Return the number of events of a stream."""
    return max(generated_tokens // 4, 1)


def breaking(behaviour: Behaviour) -> Behaviour:
    """Reset the connection within the second event, or before a plain response."""
    return replace(
        behaviour,
        reset_after_events=0 if behaviour.plain_body else 1,
        ends_mid_event=True,
    )


def hanging(behaviour: Behaviour) -> Behaviour:
    """Accept requests and never respond."""
    return replace(behaviour, hang=True)


def slow(behaviour: Behaviour) -> Behaviour:
    """Respond and send events with long delays."""
    return replace(
        behaviour,
        response_delay_s=behaviour.response_delay_s + 0.5,
        event_interval_s=0.2,
    )


def failing(behaviour: Behaviour) -> Behaviour:
    """Respond with status 500."""
    return replace(behaviour, status=500)


def refusing(behaviour: Behaviour) -> Behaviour:
    """Refuse all requests as if at capacity."""
    return replace(behaviour, not_run=True)


MISBEHAVIOURS = {
    item.__name__: item for item in (breaking, hanging, slow, failing, refusing)
}
