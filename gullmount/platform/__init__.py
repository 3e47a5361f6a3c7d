"""Runs the proxy on the users' platform.

This package contains the configuration file, the clients of discovery and the release controller, vote gossip
and signal handling. It makes no routing or release decisions. docs/protocols.md describes the formats.
"""
