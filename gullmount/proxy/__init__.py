"""One proxy instance on a network: serves HTTP requests and does what the router decides.

Use it as a library: `async with ProxyInstance(config, net=..., seed=...)`. Two in one process share nothing.
Names are loaded when they are first used: `gullmount.platform` has no memory to spare for what reads YAML.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from gullmount.proxy.config import ProxyConfig
    from gullmount.proxy.instance import ProxyInstance
    from gullmount.proxy.state_store import FileStateStore, NullStateStore, StateStore

MODULE_BY_NAME = {
    "FileStateStore": "state_store",
    "NullStateStore": "state_store",
    "ProxyConfig": "config",
    "ProxyInstance": "instance",
    "StateStore": "state_store",
}

__all__ = ["FileStateStore", "NullStateStore", "ProxyConfig", "ProxyInstance", "StateStore"]


def __getattr__(name: str) -> Any:
    if name not in MODULE_BY_NAME:
        raise AttributeError(name)
    return getattr(import_module(f"gullmount.proxy.{MODULE_BY_NAME[name]}"), name)
