"""Finds the route of a request by host and path prefix."""

from collections.abc import Iterable

from . import desired_state


class RouteTable:
    """Routes by host; the longest matching path prefix wins."""

    def __init__(self, routes: Iterable[desired_state.Route]) -> None:
        self._routes_by_host: dict[str, list[desired_state.Route]] = {}
        for route in routes:
            key = route.host.lower()
            self._routes_by_host.setdefault(key, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> desired_state.Route | None:
        """Returns the route with the longest prefix of ``path``, if any.

        :param host: the Host header, with or without a port.
        :param path: the request's path; a query string is ignored.
        """
        name = host.strip().lower().partition(':')[0]
        bare_path = path.partition('?')[0]
        for route in self._routes_by_host.get(name, ()):
            if bare_path.startswith(route.prefix):
                return route
        return None
