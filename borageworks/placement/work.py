"""Request that placement selects an endpoint for."""

from __future__ import annotations

from dataclasses import dataclass, replace

from borageworks.gateway.caller_request import Prompt
from borageworks.gateway.endpoint import Endpoint

WorkKey = tuple[str, int]
# Generating a token costs an engine about twice as much as prefilling one, and the
# throughput that the operator states counts it so.
GENERATED_WEIGHT = 2.0
REQUEST_TRAIT_PREFIX = b"request:"
PART_TRAIT_PREFIX = b"part:"
# Charge of a request to a plain service.
PLAIN_UNITS = 1.0


@dataclass(frozen=True, slots=True)
class Work:
    """A request that needs an endpoint.

    Parameters
    ----------
    key
        Entry instance of the request, and its number there.
    organisation
        Organisation that the request is charged to.
    remaining_target_s
        Seconds left of the target latency to the first output; negative if exceeded.
    max_wait_s
        Seconds that the request may wait for an endpoint even if it exceeds its target
        latency.
    prompt
        Prompt for a model engine, None for plain services.
    excluded
        Endpoints that must not run it, since an attempt failed there.
    fingerprint
        Hash that identical requests of an organisation share, empty if unknown.
    software_version
        Version of the only endpoints that may run it, as it goes on with a stream of
        that version; None for any endpoint.
    stream
        Id of the event stream that it begins or goes on with, empty if its caller
        cannot resume it or does not name it.
    stream_lifetime_s
        Seconds for which the caller may resume the stream.
    resumed
        Whether the caller resumes a stream whose version is not known yet.
    """

    key: WorkKey
    organisation: str
    remaining_target_s: float
    max_wait_s: float
    prompt: Prompt | None
    excluded: frozenset[str] = frozenset()
    fingerprint: bytes = b""
    software_version: str | None = None
    stream: bytes = b""
    stream_lifetime_s: float = 0.0
    resumed: bool = False

    def may_run_at(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may run it, now or later."""
        if endpoint.id in self.excluded:
            return False
        if self.software_version is None:
            return True
        # Endpoints of an unknown version may differ from each other.
        return endpoint.software_version == self.software_version != ""

    def after(self, seconds: float) -> Work:
        """Return the request as it is after a wait of some seconds."""
        return replace(
            self,
            remaining_target_s=self.remaining_target_s - seconds,
            max_wait_s=max(self.max_wait_s - seconds, 0.0),
        )

    @property
    def traits(self) -> tuple[bytes, ...]:
        """What it may share with other requests that crash endpoints.

        The last part of a prompt is its own.
        """
        traits = []
        if self.fingerprint:
            traits.append(REQUEST_TRAIT_PREFIX + self.fingerprint.hex().encode())
        if self.prompt is not None:
            traits += [
                PART_TRAIT_PREFIX + part.id.encode() for part in self.prompt.parts[:-1]
            ]
        return tuple(traits)

    @property
    def units(self) -> float:
        """Charge in tokens, with generated ones weighted; 1 for a plain service."""
        if self.prompt is None:
            return PLAIN_UNITS
        return self.prompt.tokens + GENERATED_WEIGHT * self.prompt.generated_tokens


def own_prompt_tokens(work: Work) -> int:
    """Return the prompt tokens that only this request or its session uses."""
    if work.prompt is None:
        return 0
    return work.prompt.parts[-1].tokens if work.prompt.parts else work.prompt.tokens
