"""The routes of a proxy's services, as relays send them, beside those of its own file. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from typing import Any

from pydantic import TypeAdapter, ValidationError

from gullmount.decisions.model import Route
from gullmount.distribution.config import SubscribedProxyConfig
from gullmount.distribution.errors import (
    DuplicateRouteError,
    NotRoutesError,
    RouteCountError,
    UnusableUpdateError,
)
from gullmount.proxy.config import AT_MOST_ONCE_SUFFIX, RouteConfig

RETIRED_ROUTE_SECONDS = 600.0  # for which a removed route is known: a request of it may still be read
MAX_ROUTES = 5000  # of one service
MAX_PROBLEMS = 3  # of a configuration that are reported

ROUTES = TypeAdapter(list[RouteConfig])
Configuration = dict[str, Any]  # a service's entries
Matcher = tuple[RouteConfig, re.Pattern[str]]  # as the proxy's front end has them


def parse_routes(value: Any) -> list[RouteConfig]:
    """Routes, validated as a file's are.

    Raises UnusableUpdateError, whose reason names the key and holds no value.
    """
    if not isinstance(value, dict) or value.keys() != {"routes"} or not isinstance(value["routes"], list):
        raise NotRoutesError
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
    """The route with its pattern."""
    return route, route.match.pattern()


class RouteTable:
    """Routes by service, and what the router knows of them.

    A route of a service replaces one of the file with the same name for as long as it is there. A removed
    route is known for a while, for requests that began with it.
    """

    def __init__(self, config: SubscribedProxyConfig, services: Sequence[str]) -> None:
        """Start with the file's routes only; services come in the order of `services`."""
        self.config = config
        self.services = services
        self.configurations: dict[str, Configuration] = {}  # in force by service
        self.by_service: dict[str, list[Matcher]] = {}  # the same as routes
        self.own_routes = [make_matcher(route) for route in config.routes]  # of the file
        self.retired: dict[str, float] = {}  # since when, by name

    def is_in_force(self, service: str, configuration: Configuration) -> bool:
        """Whether the service's routes are just these: an origin's new epoch sends them again."""
        return self.configurations.get(service) == configuration and service in self.by_service

    def check_names(self, service: str, routes: list[RouteConfig]) -> None:
        """Refuse a name that is there twice, unless it is one of the file's. Raises UnusableUpdateError."""
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
        """Put a service's routes in force for requests from now on; all matchers in their order.

        `known`: the router's routes by name, which are brought up to date; `now`: seconds, monotonic.
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
        """The route's matcher from before if it is unchanged: a proxy may front thousands of routes."""
        previous_matcher = previous.get(route.name)
        return (
            previous_matcher
            if previous_matcher is not None and previous_matcher[0] == route
            else make_matcher(route)
        )

    def matchers(self, names: set[str]) -> list[Matcher]:
        """Matchers of the services, then those of the file whose names no service has."""
        matchers = [matcher for service in self.services for matcher in self.by_service.get(service, [])]
        return matchers + [matcher for matcher in self.own_routes if matcher[0].name not in names]

    def router_routes(self, routes: list[RouteConfig]) -> Mapping[str, Route]:
        """Routes as the router knows them."""
        return self.config.model_copy(update={"routes": routes}).instance_settings(0, False).routes

    def retire(
        self, previous: Mapping[str, Matcher], updated_routes: Mapping[str, Route], now: float
    ) -> None:
        """Note since when removed routes are no longer in force."""
        for name in updated_routes:
            self.retired.pop(name, None)
        for name in previous:
            for removed in (name, name + AT_MOST_ONCE_SUFFIX):
                if removed not in updated_routes:
                    self.retired[removed] = now

    def drop_retired(self, routes_by_name: dict[str, Route], now: float) -> None:
        """Forget routes that were removed a while ago."""
        for name in [name for name, since in self.retired.items() if now - since > RETIRED_ROUTE_SECONDS]:
            del self.retired[name], routes_by_name[name]
