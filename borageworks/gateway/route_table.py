"""Selection of a route by host and longest path prefix."""

from __future__ import annotations

from collections.abc import Iterable

from borageworks.gateway.route import Route


class RouteTable:
    """Routes by host and prefix.

    Parameters
    ----------
    routes
        Routes of one version of the deployment.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host.lower(), {})[route.prefix] = (
                route
            )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, None if there is none."""
        routes_by_prefix = self._routes_by_host.get(host)
        if routes_by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None
