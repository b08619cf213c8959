"""Retry budgets of one instance, by service."""

from __future__ import annotations

from collections.abc import Callable

from borageworks.gateway.settings import GatewaySettings
from borageworks.placement.retry_window import RetryWindow
from borageworks.timers import Timers


class RetryBudgets:
    """Retry budgets of one instance, by service.

    Parameters
    ----------
    settings
        Provide the budget of the fleet.
    timers
        Clock.
    instance_count
        Returns the number of instances that share the budget.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        timers: Timers,
        instance_count: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._instance_count = instance_count
        self._windows: dict[str, RetryWindow] = {}

    def configure(self, settings: GatewaySettings) -> None:
        """Apply changed settings; past requests and retries still count."""
        self._settings = settings
        for window in self._windows.values():
            window.configure(
                settings.retry_window_s, settings.retry_ratio, settings.retry_allowance
            )

    def record_request(self, service: str, organisation: str) -> None:
        """Record a caller's request to a service, which adds to its budget."""
        self._window(service).record_request(self._timers.now(), organisation)

    def take(self, service: str, organisation: str) -> bool:
        """Take one retry from the budget; return False if none is left."""
        window = self._window(service)
        return window.take(self._timers.now(), self._instance_count(), organisation)

    def _window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = RetryWindow(
                self._settings.retry_window_s,
                self._settings.retry_ratio,
                self._settings.retry_allowance,
            )
        return window
