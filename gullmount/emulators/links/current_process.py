"""Which emulated process a task belongs to, where many run in one."""

from __future__ import annotations

from contextvars import ContextVar

# What stops a process goes by this name; it is empty in tasks that belong to none.
CURRENT_PROCESS: ContextVar[str] = ContextVar("process", default="")
