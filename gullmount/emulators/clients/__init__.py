"""The emulator of clients: arrivals that wait for nobody, timeouts, retries, and what clients get."""

from gullmount.emulators.clients.behaviour import ClientFaults, ClientRoute, ClientSettings, KeyDistribution
from gullmount.emulators.clients.proxy_clients import ProxyClients

__all__ = ["ClientFaults", "ClientRoute", "ClientSettings", "KeyDistribution", "ProxyClients"]
