"""Reads the configuration file that PROXY_CONFIG names, at startup and on each SIGHUP."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from gullmount.decisions.model import InstanceSettings
from gullmount.errors import GullmountError
from gullmount.net.types import AddressError, parse_address
from gullmount.settings import (
    InvalidSettingsError,
    SocketSettings,
    decode_instance_settings,
    decode_socket_settings,
)

PATH_VARIABLE = "PROXY_CONFIG"


class InvalidConfigurationError(GullmountError):
    """The configuration is missing or invalid; the file has to be corrected.

    Attributes:
        path: The file; None if the environment names none.
        detail: What is wrong.
        key: The invalid key; None if the file as a whole is invalid.
    """

    def __init__(self, path: str | None, detail: str, key: str | None = None) -> None:
        super().__init__(": ".join(part for part in (path, key, detail) if part is not None))
        self.path = path
        self.detail = detail
        self.key = key


class ResourceLimits(msgspec.Struct, frozen=True):
    """The resources that the process may use."""

    cores: float = 1.0
    """Number of processor cores, which may be a fraction."""

    memory_megabytes: float = msgspec.field(default=192.0, name="memory_mb")
    """Memory of the process in MB (10^6 bytes, the lower reading of the page)."""

    sockets: int = 1024
    """Number of file descriptors."""


class ReleaseControllerLocation(msgspec.Struct, frozen=True):
    """The release controller's address, and the release status when the file was written."""

    address: str
    """The address, of the form host:port."""

    status_fields: dict[str, Any] | None = msgspec.field(default=None, name="news")
    """The release status, validated when it is applied; None if there is none."""


class ConfigurationFile(msgspec.Struct, frozen=True):
    """The content of the configuration file; unknown keys are ignored.

    Addresses are of the form host:port.
    """

    name: str
    """The name of the instance, for the log."""

    listen_address: str = msgspec.field(name="listen")
    """The address on which clients are accepted."""

    discovery_address: str = msgspec.field(name="discovery")
    """The address of discovery."""

    seed: str
    """The seed of the random number generator, in hexadecimal."""

    release_controller: ReleaseControllerLocation = msgspec.field(name="platform")
    """The release controller's address and the release status."""

    settings: dict[str, Any]
    """The instance's settings, decoded by `gullmount.settings`."""

    limits: ResourceLimits = ResourceLimits()
    """The resources that the process may use."""

    gossip_address: str | None = msgspec.field(default=None, name="peer_listen")
    """The address on which peers' votes are received; None if there are no peers."""

    peer_addresses: list[str] = msgspec.field(default=[], name="peers")
    """The gossip addresses of all instances, in the order of their numbers."""

    endpoint_list_fields: dict[str, Any] | None = msgspec.field(default=None, name="known")
    """The endpoint list when the file was written, validated when it is applied; None if there is none."""


class Configuration(msgspec.Struct, frozen=True):
    """The configuration file, and the settings decoded from it."""

    file: ConfigurationFile
    instance: InstanceSettings
    sockets: SocketSettings


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Read and validate the file that the environment names.

    Raises:
        InvalidConfigurationError: PROXY_CONFIG is not set, or the file is unreadable or invalid.
    """
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise InvalidConfigurationError(None, f"{PATH_VARIABLE} is not set")
    file = read_file(path)
    check_addresses(path, file)
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise InvalidConfigurationError(path, "not a hexadecimal number", key="seed") from None
    try:
        instance = decode_instance_settings(seed, file.settings)
        return Configuration(file, instance, decode_socket_settings(file.settings))
    except InvalidSettingsError as error:
        raise InvalidConfigurationError(path, str(error), key="settings") from None


def read_file(path: str) -> ConfigurationFile:
    """Read and decode the file.

    Raises:
        InvalidConfigurationError: The file is unreadable or is not JSON of the expected form.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=ConfigurationFile)
    except OSError as error:
        raise InvalidConfigurationError(path, str(error.strerror)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidConfigurationError(path, str(error)) from None


def check_addresses(path: str, file: ConfigurationFile) -> None:
    """Validate all addresses in the file.

    Raises:
        InvalidConfigurationError: An address is not of the form host:port; names the first such key.
    """
    check_address(path, "listen", file.listen_address)
    check_address(path, "discovery", file.discovery_address)
    check_address(path, "platform.address", file.release_controller.address)
    for address in [*file.peer_addresses, *filter(None, [file.gossip_address])]:
        check_address(path, "peers", address)


def check_address(path: str, key: str, address: str) -> None:
    """Validate one address.

    Raises:
        InvalidConfigurationError: The address is not of the form host:port.
    """
    try:
        parse_address(address)
    except AddressError as error:
        raise InvalidConfigurationError(path, str(error), key=key) from None
