"""Defines the base class of the clients of discovery and the release controller."""

from __future__ import annotations

import anyio


class ServiceWatch:
    """Watches a service whose address may change.

    Attributes:
        address: address of the service.
        watch_scope: cancel scope of the current call or connection, or None.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.watch_scope: anyio.CancelScope | None = None

    def change_address(self, address: str) -> None:
        """Set the address and, if it differs, cancel the current call or connection at once."""
        if address != self.address:
            self.address = address
            if self.watch_scope is not None:
                self.watch_scope.cancel()
