"""Serves HTTP requests as one proxy instance and carries out the decisions of its router.

To use it as a library, write `async with ProxyInstance(config, net=..., seed=...)`. Several instances in one
process share no state. Public names are imported on first use, because `gullmount.platform` imports this
package and has no memory to spare for the YAML modules.
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
