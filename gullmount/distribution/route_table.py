"""Combines the routes that relays send for a proxy's services with those of its own file. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from typing import Any

from pydantic import TypeAdapter, ValidationError

from gullmount.decisions.model import Route
from gullmount.distribution.config import SubscribedProxyConfig
from gullmount.distribution.errors import (
    DuplicateRouteError,
    RouteCountError,
    RoutesNotAListError,
    UnusableUpdateError,
)
from gullmount.proxy.config import AT_MOST_ONCE_SUFFIX, RouteConfig

# How long a removed route stays known to the router, as a request of it may still be read.
RETIRED_ROUTE_SECONDS = 600.0
# Maximum number of routes of one service.
MAX_ROUTES = 5000
# Maximum number of problems of one configuration that are reported.
MAX_PROBLEMS = 3

ROUTES = TypeAdapter(list[RouteConfig])
# The configuration entries of a service.
Configuration = dict[str, Any]
# A route and its compiled pattern, in the form that the front end of the proxy uses.
Matcher = tuple[RouteConfig, re.Pattern[str]]


def parse_routes(value: Any) -> list[RouteConfig]:
    """Parse routes and validate them like those of a configuration file.

    Raises:
        UnusableUpdateError: The routes are invalid. Its reason names the key and contains no value.
    """
    if not isinstance(value, dict) or value.keys() != {"routes"} or not isinstance(value["routes"], list):
        raise RoutesNotAListError
    if not 0 < len(value["routes"]) <= MAX_ROUTES:
        raise RouteCountError(len(value["routes"]), MAX_ROUTES)
    try:
        return ROUTES.validate_python(value["routes"])
    except ValidationError as error:
        problems = []
        for details in error.errors(include_url=False, include_input=False, include_context=False):
            path = ".".join(["routes", *map(str, details["loc"])])
            problems.append(f"{path}: {details['msg'].removeprefix('Value error, ')}")
        raise UnusableUpdateError("; ".join(problems[:MAX_PROBLEMS])) from None


def make_matcher(route: RouteConfig) -> Matcher:
    """Return the route with its compiled pattern."""
    return route, route.match.pattern()


class RouteTable:
    """Holds the routes by service and keeps the router's routes up to date.

    A route of a service replaces the route of the file that has the same name, until it is removed. The
    router keeps a removed route for RETIRED_ROUTE_SECONDS, for requests that began with it.
    """

    def __init__(self, config: SubscribedProxyConfig, services: Sequence[str]) -> None:
        """Create a table with the routes of the file only; `services` sets the order of matchers."""
        self.config = config
        self.services = services
        # The configuration in force, by service.
        self.configurations: dict[str, Configuration] = {}
        # The matchers of these configurations, by service.
        self.by_service: dict[str, list[Matcher]] = {}
        # The matchers of the file's routes.
        self.own_routes = [make_matcher(route) for route in config.routes]
        # When each removed route was removed, by name.
        self.retired: dict[str, float] = {}

    def is_in_force(self, service: str, configuration: Configuration) -> bool:
        """Return whether the service has this configuration already; a new epoch of the origin repeats it."""
        return self.configurations.get(service) == configuration and service in self.by_service

    def check_names(self, service: str, routes: list[RouteConfig]) -> None:
        """Raise DuplicateRouteError for a name that occurs twice in `routes` or in another service.

        The name of a route of the file is allowed.
        """
        names = [route.name for route in routes]
        others = {
            route.name
            for other, matchers in self.by_service.items()
            if other != service
            for route, _ in matchers
        }
        for name in names:
            if names.count(name) > 1 or name in others:
                raise DuplicateRouteError(name)

    def replace(
        self,
        service: str,
        configuration: Configuration,
        routes: list[RouteConfig],
        routes_by_name: dict[str, Route],
        now: float,
    ) -> list[Matcher]:
        """Put a service's routes in force for new requests.

        Args:
            service: The name of the service.
            configuration: The configuration that the routes come from.
            routes: The new routes of the service.
            routes_by_name: The routes of the router by name; updated in place.
            now: The monotonic time in seconds.

        Returns:
            The matchers of all routes in force, in matching order.
        """
        previous = {route.name: (route, pattern) for route, pattern in self.by_service.get(service, [])}
        self.configurations[service] = configuration
        self.by_service[service] = [self.reused_matcher(route, previous) for route in routes]
        names = {route.name for matchers in self.by_service.values() for route, _ in matchers}
        restored = [
            route for route, _ in self.own_routes if route.name in previous and route.name not in names
        ]
        updated_routes = self.router_routes([*routes, *restored])
        routes_by_name.update(updated_routes)
        self.retire(previous, updated_routes, now)
        self.drop_retired(routes_by_name, now)
        return self.matchers(names)

    def reused_matcher(self, route: RouteConfig, previous: Mapping[str, Matcher]) -> Matcher:
        """Return the existing matcher of an unchanged route, as a proxy may have thousands of routes."""
        previous_matcher = previous.get(route.name)
        return (
            previous_matcher
            if previous_matcher is not None and previous_matcher[0] == route
            else make_matcher(route)
        )

    def matchers(self, names: set[str]) -> list[Matcher]:
        """Return the matchers of the services, then those of the file whose names are not in `names`."""
        matchers = [matcher for service in self.services for matcher in self.by_service.get(service, [])]
        return matchers + [matcher for matcher in self.own_routes if matcher[0].name not in names]

    def router_routes(self, routes: list[RouteConfig]) -> Mapping[str, Route]:
        """Return the routes in the form that the router uses, by name."""
        return self.config.model_copy(update={"routes": routes}).instance_settings(0, False).routes

    def retire(
        self, previous: Mapping[str, Matcher], updated_routes: Mapping[str, Route], now: float
    ) -> None:
        """Record the time at which removed routes went out of force."""
        for name in updated_routes:
            self.retired.pop(name, None)
        for name in previous:
            for removed in (name, name + AT_MOST_ONCE_SUFFIX):
                if removed not in updated_routes:
                    self.retired[removed] = now

    def drop_retired(self, routes_by_name: dict[str, Route], now: float) -> None:
        """Remove routes that were retired more than RETIRED_ROUTE_SECONDS ago."""
        for name in [name for name, since in self.retired.items() if now - since > RETIRED_ROUTE_SECONDS]:
            del self.retired[name], routes_by_name[name]
