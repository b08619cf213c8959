"""Endpoints of a soak: engines that read prompts in turn, and plain services."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from aiohttp import web

from borageworks_emulator.platform.engine import Behaviour, EmulatedEndpoint, Run
from borageworks_emulator.soak.promises import Promises

ENGINE_SLOTS = 8
# Beyond its slots an engine queues so many requests and refuses the rest.
ENGINE_QUEUE = 8
READ_TOKENS_PER_S = 5_000.0
EVENT_PAUSE_S = 0.02
DESK_THINK_S = 0.02
DESK_SLOTS = 8


Trouble = Callable[[Behaviour], Behaviour]


def sound(behaviour: Behaviour) -> Behaviour:
    """Treat requests as they should be."""
    return behaviour


class SoakEndpoint(EmulatedEndpoint):
    """Endpoint with limited room that reports what it runs.

    Parameters
    ----------
    name
        Identity; a new one follows each time that it has left.
    service
        Service of the endpoint.
    engine
        Whether it is a model engine.
    promises
        Learns of runs.
    """

    def __init__(
        self, name: str, service: str, engine: bool, promises: Promises
    ) -> None:
        super().__init__(name, self._behave)
        self.service = service
        self.engine = engine
        self.trouble: Trouble = sound
        self._promises = promises
        self._running: set[int] = set()
        self._kept: set[str] = set()
        self._free_at = 0.0
        self.began = self._note_begin
        self.finished = self._note_end

    @property
    def slots(self) -> int:
        """Number of requests that it works on at once."""
        return ENGINE_SLOTS if self.engine else DESK_SLOTS

    def rename(self, name: str) -> None:
        """Become another incarnation, which keeps nothing."""
        self.name = name
        self._kept.clear()
        self._free_at = 0.0

    def _behave(self, request: web.BaseRequest) -> Behaviour:
        if len(self._running) >= self.slots + ENGINE_QUEUE:
            return Behaviour(not_run=True)
        if not self.engine:
            plain = Behaviour(plain=True, named=True, think_s=DESK_THINK_S)
            return self.trouble(plain)
        generated = int(request.headers["X-Borageworks-Token-Count"].split(",")[1])
        return self.trouble(
            Behaviour(
                named=True,
                events=events_of(generated),
                pause_s=EVENT_PAUSE_S,
                think_s=self._read(request.headers["X-Borageworks-Prompt-Prefix"]),
            )
        )

    def _read(self, prefix: str) -> float:
        """Return the seconds until a prompt is read, behind those before it."""
        tokens = 0
        for part in prefix.split(","):
            name, _, size = part.partition(":")
            if name not in self._kept:
                tokens += int(size)
                self._kept.add(name)
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + tokens / READ_TOKENS_PER_S
        return self._free_at - now

    def _note_begin(self, run: Run) -> None:
        self._running.add(id(run))
        self._promises.began(self.name, run)

    def _note_end(self, run: Run) -> None:
        self._running.discard(id(run))
        self._promises.finished(self.name, run)


def events_of(generated_tokens: int) -> int:
    """Return the number of events of a stream."""
    return max(generated_tokens // 4, 1)


def breaking(behaviour: Behaviour) -> Behaviour:
    """Break off after the first event, or before an answer."""
    return replace(behaviour, break_after=0 if behaviour.plain else 1, torn=True)


def hanging(behaviour: Behaviour) -> Behaviour:
    """Take requests and never answer."""
    return replace(behaviour, hang=True)


def slow(behaviour: Behaviour) -> Behaviour:
    """Take long before each part of an answer."""
    return replace(behaviour, think_s=behaviour.think_s + 0.5, pause_s=0.2)


def failing(behaviour: Behaviour) -> Behaviour:
    """Answer with a failure."""
    return replace(behaviour, status=500)


def refusing(behaviour: Behaviour) -> Behaviour:
    """Refuse all requests as if there were no room."""
    return replace(behaviour, not_run=True)


TROUBLES = {
    item.__name__: item for item in (breaking, hanging, slow, failing, refusing)
}
