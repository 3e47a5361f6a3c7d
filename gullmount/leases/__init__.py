"""Leases that let one proxy instance at a time do work for the whole fleet.

The replicas store each lease in a register, with a fencing token that only grows. Leases are off unless the
proxy instance's file has the section `ownership` with `switched_on: true`.
"""
