"""What owners of placement have told about the shares of organisations."""

from __future__ import annotations

from borageworks.placement.shards import Shard


class FleetShares:
    """Knows which organisations have got their share of the whole fleet.

    An entry instance sees its own callers only. The owner of a shard tells with each
    decision whether the organisation has already got its share of that shard. What was
    told counts for as long as shares are measured, so that an organisation is not held
    back by an owner that is gone.

    Parameters
    ----------
    window_s
        Time over which shares are measured, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        # The last statement on each shard: its time, and whether the share was reached.
        self._statements: dict[str, dict[Shard, tuple[float, bool]]] = {}

    def record(
        self, now: float, organisation: str, shard: Shard, *, share_reached: bool
    ) -> None:
        """Record what the owner of a shard told about an organisation."""
        statements = self._statements.setdefault(organisation, {})
        statements[shard] = now, share_reached

    def has_reached(self, now: float, organisation: str) -> bool:
        """Return whether an organisation has got its share of all shards it uses."""
        statements = self._statements.get(organisation)
        if statements is None:
            return False
        oldest = now - self._window_s
        recent = [reached for at, reached in statements.values() if at > oldest]
        if not recent:
            del self._statements[organisation]
        return bool(recent) and all(recent)
