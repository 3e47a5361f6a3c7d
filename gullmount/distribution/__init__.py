"""Distributes endpoints and configuration to proxies, by service and as versioned changes.

An origin holds all topics. Relays subscribe to the origin, and subscribers (proxies) subscribe to relays.
Distribution is off unless a file enables it, and `run` does not depend on it. docs/architecture.md lists the
modules that perform no I/O.
"""
