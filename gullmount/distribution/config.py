"""Configuration files of an origin, of a relay and of a proxy that subscribes to relays.

Durations are in seconds. Each attribute has the name of its YAML key.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Annotated, Any, Self

from pydantic import Field, PositiveFloat, PositiveInt, ValidationInfo, field_validator, model_validator

from gullmount.decisions.model import InstanceSettings
from gullmount.errors import GullmountError
from gullmount.proxy.config import Address, DiscoveryConfig, ProxyConfig
from gullmount.yamlfile import YamlModel

# The address of a discovery service that is configured but never called.
UNUSED_DISCOVERY_ADDRESS = "127.0.0.1:1"
Name = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]


class InvalidConfigError(GullmountError, ValueError):
    """A configuration file of an origin, a relay or a proxy is invalid; the message says what to correct."""


class UnlistedZoneError(InvalidConfigError):
    """The zone of the file, or of one of its relays, is not in its list of zones."""

    def __init__(self, zone: str, relay: str | None = None) -> None:
        self.zone = zone
        self.relay = relay
        where = "" if relay is None else f"{relay}: zone {zone!r} is "
        super().__init__(f"{where}not among zones")


class OwnOriginError(InvalidConfigError):
    """A relay has its own listen address as its origin's address."""

    def __init__(self) -> None:
        super().__init__("source is where this relay listens itself")


class DuplicateRelayError(InvalidConfigError):
    """Two relays of the file have the same name or address."""

    def __init__(self, names: str) -> None:
        super().__init__(f"duplicate relay names or addresses: {names}")


class DuplicateServiceError(InvalidConfigError):
    """A service is listed more than once."""

    def __init__(self) -> None:
        super().__init__("a service is named twice")


class NoRelayInZoneError(InvalidConfigError):
    """No relay is listed for the proxy's own zone."""

    def __init__(self, zone: str) -> None:
        super().__init__(f"at: none is named for this proxy's zone {zone!r}")


def duplicates(names: list[str]) -> str:
    """Return the names that occur more than once, sorted and separated by commas."""
    return ", ".join(sorted({name for name in names if names.count(name) > 1}))


class OriginConfig(YamlModel):
    """Configuration of the origin: its relays, each with its zone, and what it stores."""

    listen: Address
    zones: Annotated[list[Name], Field(min_length=1)]
    relays: Annotated[dict[Name, Name], Field(min_length=1)]
    # The file that stores the epoch, and the state if `remembered` is set.
    kept: Annotated[str, Field(min_length=1)]
    # Whether the state survives a restart of the process.
    remembered: bool = True
    # Maximum number of open connections; further ones are closed on arrival.
    connections: PositiveInt = 1000

    @field_validator("relays")
    @classmethod
    def check_relay_zones(cls, relays: dict[str, str], info: ValidationInfo) -> dict[str, str]:
        """Raise UnlistedZoneError if a relay's zone is not in `zones`."""
        for name, zone in relays.items():
            if "zones" in info.data and zone not in info.data["zones"]:
                raise UnlistedZoneError(zone, name)
        return relays


class RelayConfig(YamlModel):
    """Configuration of a relay: its name and zone, its origin, its listen address and its limits."""

    name: Name
    # The zones whose subscribers the relay serves.
    zones: Annotated[list[Name], Field(min_length=1)]
    zone: Name
    listen: Address
    # The address of the origin.
    source: Address
    # The local host that outgoing connections are made from, on a machine that has several.
    connect_from: str | None = None
    # Maximum number of concurrent subscribers; further ones are refused.
    followers: PositiveInt = 2000
    # Maximum number of open connections; further ones are closed on arrival.
    connections: PositiveInt = 5000
    # Bytes per second to one subscriber. A single topic that is larger is sent all the same.
    rate: PositiveInt | None = 5000

    @field_validator("zone")
    @classmethod
    def check_zone(cls, zone: str, info: ValidationInfo) -> str:
        """Raise UnlistedZoneError if the relay's zone is not in `zones`."""
        if "zones" in info.data and zone not in info.data["zones"]:
            raise UnlistedZoneError(zone)
        return zone

    @model_validator(mode="after")
    def check_source(self) -> Self:
        """Raise OwnOriginError if the relay would subscribe to itself."""
        if self.source == self.listen:
            raise OwnOriginError
        return self


class RelayEntry(YamlModel):
    """A relay in the configuration of a proxy."""

    name: Name
    address: Address
    zone: Name


class SubscriptionConfig(YamlModel):
    """The section `relays` of a proxy's configuration. It has no effect unless `switched_on` is set."""

    switched_on: bool = False
    at: Annotated[list[RelayEntry], Field(min_length=1)]
    services: Annotated[list[Name], Field(min_length=1, max_length=10000)]
    # The file that stores what was in force, for the next process.
    remembered: str | None = None
    # Seconds to wait for a relay at startup before the remembered state is used.
    start_within: PositiveFloat = 20.0

    @field_validator("at")
    @classmethod
    def check_duplicate_relays(cls, at: list[RelayEntry]) -> list[RelayEntry]:
        """Raise DuplicateRelayError if two relays have the same name or address."""
        for names in ([relay.name for relay in at], [relay.address for relay in at]):
            if duplicates(names):
                raise DuplicateRelayError(duplicates(names))
        return at

    @field_validator("services")
    @classmethod
    def check_duplicate_services(cls, services: list[str]) -> list[str]:
        """Raise DuplicateServiceError if a service is listed more than once."""
        if len(set(services)) < len(services):
            raise DuplicateServiceError
        return services


class SubscribedProxyConfig(ProxyConfig):
    """Configuration of a proxy, with the relays that it subscribes to."""

    relays: SubscriptionConfig | None = None

    @field_validator("relays")
    @classmethod
    def check_own_zone(
        cls, relays: SubscriptionConfig | None, info: ValidationInfo
    ) -> SubscriptionConfig | None:
        """Raise NoRelayInZoneError if no relay is in the proxy's own zone."""
        zone = info.data.get("zone")
        if relays is not None and zone is not None and zone not in {relay.zone for relay in relays.at}:
            raise NoRelayInZoneError(zone)
        return relays

    @model_validator(mode="before")
    @classmethod
    def add_unused_discovery_address(cls, data: Any) -> Any:
        """Add the discovery section if the proxy subscribes to relays and has none.

        A subscribing proxy calls no discovery service, whether or not one is configured.
        """
        if isinstance(data, dict) and isinstance(data.get("relays"), dict) and "roster" not in data:
            section = data["relays"]
            if section.get("switched_on") is True and isinstance(section.get("at"), list):
                return {**data, "roster": {"address": UNUSED_DISCOVERY_ADDRESS, "how": "ask"}}
        return data

    @property
    def subscribes(self) -> bool:
        """Whether the proxy receives its endpoints and routes from relays."""
        return self.relays is not None and self.relays.switched_on

    def without_discovery(self) -> Self:
        """Return a copy whose discovery service is never called, as relays send the endpoints."""
        return self.model_copy(
            update={"roster": DiscoveryConfig(address=UNUSED_DISCOVERY_ADDRESS, how="ask")}
        )

    def instance_settings(self, seed: int, restarted: bool) -> InstanceSettings:
        """Return the settings of the proxy instance; a subscribing proxy watches no endpoints itself."""
        settings = super().instance_settings(seed, restarted)
        return replace(settings, may_watch_endpoints=False) if self.subscribes else settings
