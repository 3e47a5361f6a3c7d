"""Base classes of the package's exceptions. A caller can catch all of them as GullmountError."""

from __future__ import annotations


class GullmountError(Exception):
    """Base of all errors that the package raises; a subclass says what went wrong and who caused it."""


class ProcessFatalError(GullmountError):
    """The process must exit, because further responses could be wrong, such as after a disk failure."""
