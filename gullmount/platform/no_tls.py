"""Keeps OpenSSL out of the process: an instance speaks plain TCP, and OpenSSL takes 5 MB of its 32 or more.

The event loop and asyncio import `ssl` in any case. `install` puts a module without TLS in its place, with
the names that they refer to when they are imported. It must be called before they are.
"""

from __future__ import annotations

import sys
from types import ModuleType


class TlsUnavailableError(RuntimeError):
    """Something asked for TLS in a process that was started without it."""

    def __init__(self) -> None:
        super().__init__("this process was started without TLS")


class _WithoutTls:
    """Takes the place of a class or function of `ssl` and can't be used."""

    def __init__(self, *_arguments: object, **_keywords: object) -> None:
        raise TlsUnavailableError


class _NeverRaisedError(OSError):
    """Takes the place of an exception of `ssl`."""


CLASS_NAMES = ("MemoryBIO", "SSLContext", "SSLObject", "SSLSocket", "create_default_context")
ERROR_NAMES = (
    "CertificateError",
    "SSLEOFError",
    "SSLError",
    "SSLSyscallError",
    "SSLWantReadError",
    "SSLWantWriteError",
    "SSLZeroReturnError",
)
# Constants, with the values of OpenSSL.
CONSTANTS = {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5}


def install() -> None:
    """Replace `ssl` and let `hashlib` do without OpenSSL; without effect once `ssl` is imported."""
    if "ssl" in sys.modules:
        return
    module = ModuleType("ssl", "TLS is not available in this process.")
    for name in CLASS_NAMES:
        setattr(module, name, _WithoutTls)
    for name in ERROR_NAMES:
        setattr(module, name, _NeverRaisedError)
    for name, value in CONSTANTS.items():
        setattr(module, name, value)
    sys.modules["ssl"] = module
    # `hashlib` falls back to its own modules if this one can't be imported.
    sys.modules["_hashlib"] = None  # type: ignore[assignment]
