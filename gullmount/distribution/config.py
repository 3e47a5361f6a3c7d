"""The files of an origin, of a relay and of a proxy that subscribes to relays. Times in seconds.

Attributes are named by their YAML keys.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Annotated, Any, Self

from pydantic import Field, PositiveFloat, PositiveInt, ValidationInfo, field_validator, model_validator

from gullmount.decisions.model import InstanceSettings
from gullmount.errors import GullmountError
from gullmount.proxy.config import Address, DiscoveryConfig, ProxyConfig
from gullmount.yamlfile import YamlModel

UNUSED_DISCOVERY_ADDRESS = "127.0.0.1:1"  # of a discovery service that is never asked
Name = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]


class InvalidConfigError(GullmountError, ValueError):
    """The operator's fault: a file of an origin, a relay or a proxy can't be meant. Says what to correct."""


class UnlistedZoneError(InvalidConfigError):
    """A zone, of a relay if one is named, is not among the file's zones."""

    def __init__(self, zone: str, relay: str | None = None) -> None:
        self.zone = zone
        self.relay = relay
        where = "" if relay is None else f"{relay}: zone {zone!r} is "
        super().__init__(f"{where}not among zones")


class OwnOriginError(InvalidConfigError):
    """A relay's origin is the relay itself."""

    def __init__(self) -> None:
        super().__init__("source is where this relay listens itself")


class DuplicateRelayError(InvalidConfigError):
    """Relays have the same name or address."""

    def __init__(self, names: str) -> None:
        super().__init__(f"named twice: {names}")


class DuplicateServiceError(InvalidConfigError):
    """A service is listed twice."""

    def __init__(self) -> None:
        super().__init__("a service is named twice")


class NoRelayInZoneError(InvalidConfigError):
    """No relay is listed for the proxy's own zone."""

    def __init__(self, zone: str) -> None:
        super().__init__(f"at: none is named for this proxy's zone {zone!r}")


def duplicates(names: list[str]) -> str:
    """The names that are there more than once, as a text."""
    return ", ".join(sorted({name for name in names if names.count(name) > 1}))


class OriginConfig(YamlModel):
    """The origin's file: its relays by name, with the zone of each, and what it stores."""

    listen: Address
    zones: Annotated[list[Name], Field(min_length=1)]
    relays: Annotated[dict[Name, Name], Field(min_length=1)]
    kept: Annotated[str, Field(min_length=1)]  # the file of its epoch, and of its state if remembered
    remembered: bool = True  # whether the state outlives the process
    connections: PositiveInt = 1000  # at once; more are closed as they come

    @field_validator("relays")
    @classmethod
    def check_relay_zones(cls, relays: dict[str, str], info: ValidationInfo) -> dict[str, str]:
        """Refuse a relay of a zone that is not listed."""
        for name, zone in relays.items():
            if "zones" in info.data and zone not in info.data["zones"]:
                raise UnlistedZoneError(zone, name)
        return relays


class RelayConfig(YamlModel):
    """A relay's file: which it is, the origin that it subscribes to, and where it listens."""

    name: Name
    zones: Annotated[list[Name], Field(min_length=1)]  # whose subscribers it serves
    zone: Name
    listen: Address
    source: Address  # of the origin
    connect_from: str | None = None  # the host that its connections come from, where there are several
    followers: PositiveInt = 2000  # subscribers at once; more are refused
    connections: PositiveInt = 5000  # at once; more are closed as they come
    rate: PositiveInt | None = 5000  # bytes a second to one subscriber, but for a topic that is larger alone

    @field_validator("zone")
    @classmethod
    def check_zone(cls, zone: str, info: ValidationInfo) -> str:
        """Refuse a zone that is not listed."""
        if "zones" in info.data and zone not in info.data["zones"]:
            raise UnlistedZoneError(zone)
        return zone

    @model_validator(mode="after")
    def check_source(self) -> Self:
        """Refuse a relay that subscribes to itself."""
        if self.source == self.listen:
            raise OwnOriginError
        return self


class RelayEntry(YamlModel):
    """A relay as a proxy's file names it."""

    name: Name
    address: Address
    zone: Name


class SubscriptionConfig(YamlModel):
    """The section `relays` of a proxy's file. Nothing of it is done unless `switched_on`."""

    switched_on: bool = False
    at: Annotated[list[RelayEntry], Field(min_length=1)]
    services: Annotated[list[Name], Field(min_length=1, max_length=10000)]
    remembered: str | None = None  # the file of what was in force, for the next process
    start_within: PositiveFloat = 20.0  # s without a relay after which what was remembered must do

    @field_validator("at")
    @classmethod
    def check_duplicate_relays(cls, at: list[RelayEntry]) -> list[RelayEntry]:
        """Refuse a name or an address that is there twice."""
        for names in ([relay.name for relay in at], [relay.address for relay in at]):
            if duplicates(names):
                raise DuplicateRelayError(duplicates(names))
        return at

    @field_validator("services")
    @classmethod
    def check_duplicate_services(cls, services: list[str]) -> list[str]:
        """Refuse a service that is there twice."""
        if len(set(services)) < len(services):
            raise DuplicateServiceError
        return services


class SubscribedProxyConfig(ProxyConfig):
    """A proxy's file, with the relays that it subscribes to."""

    relays: SubscriptionConfig | None = None

    @field_validator("relays")
    @classmethod
    def check_own_zone(
        cls, relays: SubscriptionConfig | None, info: ValidationInfo
    ) -> SubscriptionConfig | None:
        """Refuse relays of which none is in the proxy's own zone."""
        zone = info.data.get("zone")
        if relays is not None and zone is not None and zone not in {relay.zone for relay in relays.at}:
            raise NoRelayInZoneError(zone)
        return relays

    @model_validator(mode="before")
    @classmethod
    def add_unused_discovery_address(cls, data: Any) -> Any:
        """Where relays are subscribed to, no discovery service is asked, whether one is named or not."""
        if isinstance(data, dict) and isinstance(data.get("relays"), dict) and "roster" not in data:
            section = data["relays"]
            if section.get("switched_on") is True and isinstance(section.get("at"), list):
                return {**data, "roster": {"address": UNUSED_DISCOVERY_ADDRESS, "how": "ask"}}
        return data

    @property
    def subscribes(self) -> bool:
        """Whether the proxy subscribes to relays."""
        return self.relays is not None and self.relays.switched_on

    def without_discovery(self) -> Self:
        """The same for a proxy that receives its endpoints from relays: it asks no discovery service."""
        return self.model_copy(
            update={"roster": DiscoveryConfig(address=UNUSED_DISCOVERY_ADDRESS, how="ask")}
        )

    def instance_settings(self, seed: int, restarted: bool) -> InstanceSettings:
        """The instance's settings; a subscribing proxy watches no endpoints of its own."""
        settings = super().instance_settings(seed, restarted)
        return replace(settings, may_watch_endpoints=False) if self.subscribes else settings
