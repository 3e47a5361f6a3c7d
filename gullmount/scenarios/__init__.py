"""Scenarios: a deployment with traffic, releases and faults, on loopback sockets or in virtual time."""
