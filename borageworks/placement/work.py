"""A request as placement sees it."""

from __future__ import annotations

from dataclasses import dataclass

from borageworks.gateway.caller_request import Prompt

WorkKey = tuple[str, int]
# Generated tokens cost an engine about twice as much as prompt tokens; the operator's
# throughput figure counts them so.
GENERATED_WEIGHT = 2.0
# What a request to a plain service counts.
PLAIN_UNITS = 1.0


@dataclass(frozen=True, slots=True)
class Work:
    """A request that needs an endpoint.

    Parameters
    ----------
    key
        Instance that holds the request, and its number there.
    organisation
        Organisation that is charged.
    aim_s
        Seconds from now in which the first part of the answer is of full use; negative
        when that time has passed.
    patience_s
        Seconds that the request may wait for a free endpoint even if it is then late.
    prompt
        Prompt for a model engine, None for plain services.
    excluded
        Endpoints that must not run it, since they failed to.
    fingerprint
        Hash that equal requests of an organisation share, empty if unknown.
    """

    key: WorkKey
    organisation: str
    aim_s: float
    patience_s: float
    prompt: Prompt | None
    excluded: frozenset[str] = frozenset()
    fingerprint: bytes = b""

    @property
    def units(self) -> float:
        """Tokens that it asks for, a generated one counted twice; 1 if plain."""
        if self.prompt is None:
            return PLAIN_UNITS
        return self.prompt.tokens + GENERATED_WEIGHT * self.prompt.generated_tokens
