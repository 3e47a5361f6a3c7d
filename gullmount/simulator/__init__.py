"""Adapter to the simulator: reads events as JSON lines, calls the routers, and writes actions as JSON lines.

`wire` defines the events and actions with their names on the wire. `instance` runs one router. `adapter`
reads the events of all instances and writes their actions.
"""
