"""Limits the memory that bodies take in a process, over all of its requests."""

from __future__ import annotations

from types import TracebackType

from borageworks.metrics import Metrics

# The rest is for the process itself and for what connections buffer.
MEMORY_RATIO = 0.4


class BodyBudget:
    """Bytes of bodies that the process may keep at the same time.

    Parameters
    ----------
    memory_bytes
        Memory that the process may use, infinite if there is no limit.
    metrics
        Shows `body_bytes`, and counts `bodies_denied` by what was denied.
    """

    def __init__(self, memory_bytes: float, metrics: Metrics) -> None:
        self._limit_bytes = MEMORY_RATIO * memory_bytes
        self._metrics = metrics
        self._used_bytes = 0
        self._allowances: set[BodyAllowance] = set()
        metrics.before_render(lambda: metrics.gauge("body_bytes", self._used_bytes))

    @property
    def used_bytes(self) -> int:
        """Bytes that are kept now, or that callers have announced."""
        return self._used_bytes

    def open(self) -> BodyAllowance:
        """Return the allowance of one request, which ends with its context."""
        return BodyAllowance(self)

    def add(self, allowance: BodyAllowance) -> None:
        """Begin to count an allowance."""
        self._allowances.add(allowance)

    def remove(self, allowance: BodyAllowance) -> None:
        """Take back all that an allowance holds."""
        self._allowances.discard(allowance)
        self._used_bytes -= allowance.held_bytes

    def take(self, size: int, kind: str) -> bool:
        """Take bytes unless that exceeds the limit."""
        if self._used_bytes + size > self._limit_bytes:
            self._metrics.count("bodies_denied", kind)
            return False
        self._used_bytes += size
        return True

    def take_for_response(self, allowance: BodyAllowance, size: int) -> bool:
        """Take bytes, if need be from the request with the largest response.

        A response without end becomes the largest of all, so that it gives way and
        sound ones do not.
        """
        if self.take(size, "response"):
            return True
        others = (item for item in self._allowances if not item.revoked)
        largest = max(others, key=lambda item: item.response_bytes, default=allowance)
        if largest is allowance or largest.response_bytes <= allowance.response_bytes:
            return False
        largest.revoke()
        self._used_bytes += size
        return True


class BodyAllowance:
    """What one request holds of the budget, until its context ends.

    Parameters
    ----------
    budget
        Budget of the process.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._request_bytes = 0
        self._response_bytes = 0
        self._revoked = False

    @property
    def held_bytes(self) -> int:
        """Bytes of the request and of responses to it."""
        return self._request_bytes + self._response_bytes

    @property
    def response_bytes(self) -> int:
        """Bytes of responses to the request."""
        return self._response_bytes

    @property
    def revoked(self) -> bool:
        """Whether the response had to give way to another one."""
        return self._revoked

    def __enter__(self) -> BodyAllowance:
        """Begin to count what the request holds."""
        self._budget.add(self)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Give everything back."""
        self._budget.remove(self)

    def revoke(self) -> None:
        """Deny the response any further bytes."""
        self._revoked = True

    def take_request(self, size: int) -> bool:
        """Take bytes for the body of the request; return False if there are none."""
        if not self._budget.take(size, "request"):
            return False
        self._request_bytes += size
        return True

    def take_response(self, size: int) -> bool:
        """Take bytes for the body of a response; return False if there are none."""
        if self._revoked or not self._budget.take_for_response(self, size):
            return False
        self._response_bytes += size
        return True
