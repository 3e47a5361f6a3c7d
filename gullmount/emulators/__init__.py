"""Emulators of what is around proxies: servers, discovery, the release controller, clients and links.

They share nothing with the proxy but the formats of docs/protocols.md.
"""
